// Admission in front of one server: how many requests it works on, and who waits.
//
// All requests to a server pass the daemon beside it, so the count is exact. A request is
// dispatched while fewer than the limit are under way; otherwise it waits in order of rank, then of
// the moment at which it would be done if it began at the end of its patience, for a bounded time.
// So long requests do not take the slots of many short ones. A call says nothing of the rank of the
// request that it serves, so clients' requests that are less urgent than calls wait beside them,
// not behind: a client's request that the front let in is as much admitted work as a call. Nothing
// is dispatched beyond the server's slots: some servers never answer what they cannot queue. Pure,
// not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/admission/overload_controller.h"
#include "core/time.h"

namespace ramppond {

/// Names one request; chosen by the caller, never reused.
using AdmissionId = std::uint64_t;

/// How a dispatched request ended.
enum class ServerOutcome : std::uint8_t {
  kAnswered,   ///< By a success or a failure that is the client's.
  kFailed,     ///< By an error of the server's own.
  kDeadline,   ///< By the server's word that the request's time was over.
  kNotRun,     ///< The server turned it away.
  kLost,       ///< The connection ended before the answer did.
  kNoAnswer,   ///< Nothing came until the request's time was over, or no connection could be had.
  kWithdrawn,  ///< The caller lost interest, or it never reached the server.
};

/// Whether the server did the request, so that its time tells of its speed.
inline bool isWork(ServerOutcome outcome) {
  return outcome == ServerOutcome::kAnswered || outcome == ServerOutcome::kDeadline;
}

enum class AdmissionVerdict : std::uint8_t { kDispatch, kWait, kRefuse };

struct AdmissionRequest {
  AdmissionId id = 0;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Duration patience{0};        ///< The longest that it may wait.
  Duration pressing_wait{0};   ///< A wait that means full pressure; see core/admission/patience.h.
  bool is_call = false;        ///< Of a server, or may be one.
  /// How long the server takes for requests of its route; one that is not known counts as short.
  std::optional<Duration> service_time = std::nullopt;
};

struct AdmissionCounters {
  std::uint64_t dispatched = 0;
  std::uint64_t waited = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_late = 0;
};

class ServerAdmission {
 public:
  /// `slots` as the server tells, and the connections that it accepts from all callers; 0 for
  /// unknown. Each request under way holds one connection.
  void setSlots(std::uint32_t slots, std::uint32_t max_connections = 0);
  AdmissionVerdict offer(const AdmissionRequest& request, TimePoint now);
  /// A request that was dispatched at `begun` has ended.
  void onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now);
  /// Share of recent requests that the server failed, turned away or left without an answer, in
  /// thousandths.
  [[nodiscard]] std::uint32_t failedPermille() const;
  /// A waiting request was withdrawn by its caller.
  void withdraw(AdmissionId id);
  /// The next waiting request that may be dispatched now; counts as dispatched.
  std::optional<AdmissionId> takeDispatchable(TimePoint now);
  /// Waiting requests whose patience has ended; they are no longer waiting.
  std::vector<AdmissionId> takeExpired(TimePoint now);
  /// When takeExpired() may next give something.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

  [[nodiscard]] std::size_t underWay() const { return under_way_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  /// Mean time that the server takes for a request: smoothed over those that it did, or the mean
  /// age of those under way if that is longer. A server that turns slow shows at once that way; one
  /// that fails at once does not look fast.
  [[nodiscard]] Duration serviceTime(TimePoint now) const;
  /// How long a new request would wait at the present rate.
  [[nodiscard]] Duration expectedWait() const;
  /// How much less work is to be begun for this server.
  [[nodiscard]] shed_level shedLevel(TimePoint now) const { return overload_.level(now); }
  [[nodiscard]] const AdmissionCounters& counters() const { return counters_; }

 private:
  struct Position {
    std::uint32_t rank = 0;
    TimePoint due{0};
    std::uint64_t arrival = 0;
    bool operator<(const Position& other) const {
      return std::tie(rank, due, arrival) < std::tie(other.rank, other.due, other.arrival);
    }
  };
  struct Waiting {
    AdmissionId id = 0;
    TimePoint until{0};
  };
  [[nodiscard]] double utilization() const;
  void noteCall(std::uint32_t priority, TimePoint now);
  [[nodiscard]] std::uint32_t rankOf(const AdmissionRequest& request) const;
  [[nodiscard]] std::size_t waitingBefore(const Position& position) const;

  std::uint32_t limit_ = 1;
  std::size_t under_way_ = 0;
  std::uint64_t arrivals_ = 0;
  std::optional<std::uint32_t> most_urgent_call_;  ///< Priority among calls of late.
  TimePoint most_urgent_call_seen_{0};
  std::map<Position, Waiting> waiting_;
  std::map<AdmissionId, Position> positions_;
  Duration service_time_ = milliseconds(50);
  double failed_ = 0;  ///< Smoothed share.
  overload_controller overload_;
  Duration begun_sum_{0};  ///< Sum of the times at which those under way were dispatched.
  AdmissionCounters counters_;
};

}  // namespace ramppond
