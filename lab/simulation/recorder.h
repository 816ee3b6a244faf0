// Collects what happens in a simulated run: the history for checkers and figures for experiments.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_model/configuration.h"
#include "core/time.h"
#include "lab/history.h"

namespace ramppond {

constexpr std::size_t kWorkKinds = 3;
constexpr Duration kBucket = milliseconds(100);

/// Front requests of one kind in one bucket of time.
struct BucketCounts {
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  double useful_us = 0;  ///< Slot time of the requests completed here.
};

/// Figures of a run.
struct RunFigures {
  std::array<std::vector<BucketCounts>, kWorkKinds> buckets;  ///< By kind, then by time.
  std::array<std::vector<std::int64_t>, kWorkKinds> latencies_us;
  std::map<std::string, std::uint64_t> completed_by_class;
  std::map<std::string, std::uint64_t> offered_by_class;
  double slot_us_total = 0;
  double slot_us_useful = 0;
  std::uint64_t front_requests = 0;  ///< Attempts of callers.
  std::uint64_t retries = 0;         ///< Attempts of daemons beyond one per node of a tree.
  std::uint64_t most_retries = 0;    ///< For one front request.
};

class Recorder {
 public:
  explicit Recorder(bool keep_history) : keep_history_(keep_history) {}

  void event(const HistoryEvent& event) {
    if (keep_history_) {
      history_.push_back(event);
    }
  }
  void offered(WorkKind kind, const std::string& caller_class, TimePoint now);
  void completed(WorkKind kind, const std::string& caller_class, const std::string& nonce,
                 Duration latency, TimePoint now);
  void refused(WorkKind kind, TimePoint now) { bucket(kind, now).refused += 1; }
  /// A caller's attempt is over, whichever way.
  void attemptEnded(const std::string& nonce);
  void attemptSent() { figures_.front_requests += 1; }
  /// Time for which a call held a slot of a back end.
  void slotUsed(const std::string& nonce, Duration time);
  /// A daemon sent an attempt for a node of a front request's tree.
  void attemptOnWire(const std::string& nonce, const std::string& call);

  [[nodiscard]] const std::vector<HistoryEvent>& history() const { return history_; }
  RunFigures figures();

 private:
  struct WireCounts {
    std::uint64_t sent = 0;
    std::set<std::string> nodes;
  };
  BucketCounts& bucket(WorkKind kind, TimePoint now);
  void settleWire(const WireCounts& counts);

  bool keep_history_;
  std::vector<HistoryEvent> history_;
  RunFigures figures_;
  std::unordered_map<std::string, double> slot_us_;
  std::unordered_map<std::string, WireCounts> wire_;
};

}  // namespace ramppond
