// Calls that wait for a slot of the back end, ordered by admission level or by arrival.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/call_model/call.h"
#include "core/call_port/overload_policy.h"

namespace ramppond {

class AdmissionQueue {
 public:
  explicit AdmissionQueue(QueueOrder order) : order_(order) {}

  void push(const CallId& id, Level level, TimePoint now);
  /// Takes the call that is served next: the lowest level, and the newest among equals.
  std::optional<CallId> popBest();
  /// Takes the call that is given up first: the highest level, and the oldest among equals.
  std::optional<CallId> popWorst();
  bool remove(const CallId& id);
  /// Takes every call that arrived before `cutoff`.
  std::vector<CallId> removeArrivedBefore(TimePoint cutoff);
  [[nodiscard]] std::size_t size() const { return by_rank_.size(); }

 private:
  struct Rank {
    Level level;
    std::uint64_t age_rank;
    bool operator<(const Rank& other) const {
      return level != other.level ? level < other.level : age_rank < other.age_rank;
    }
  };
  struct Waiting {
    Rank rank;
    TimePoint arrived;
    std::uint64_t arrival;
  };
  std::optional<CallId> take(std::map<Rank, CallId>::iterator position);

  QueueOrder order_;
  std::uint64_t arrivals_ = 0;
  std::map<Rank, CallId> by_rank_;
  std::map<std::uint64_t, CallId> by_arrival_;
  std::unordered_map<CallId, Waiting, CallIdHash> waiting_;
};

}  // namespace ramppond
