// Decides when requests to one server are dispatched: at once, after a wait, or not at all.
//
// Input: each request with its rank and patience (microseconds), how each dispatched request ended,
// the server's slots and the limit of requests a second that it names. Output: dispatch, wait or
// refuse; the order of those that wait; the load that other proxies learn of (service time, share
// of failed requests, shed level). Owns the count of requests under way, the places within the
// named limit and the queue. Relies on seeing every request to the server, which holds
// since only the proxy beside a server can reach it. Pure, not thread safe.
//
// Requests are dispatched while fewer than the limit are under way and the rate that the server
// names leaves a place. Nothing is dispatched beyond either: some servers never answer what they
// can't queue. Others wait in order of rank, then of the
// time at which they are due: the end of their patience plus their service time, so that long
// requests don't take the slots of many short ones. A call says nothing about the rank of the
// client request that it serves, so a client's request is ranked no lower than the most urgent call
// of late: it was admitted at the front, and it would starve behind the calls of others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/admission/overload_controller.h"
#include "core/admission/service_times.h"
#include "core/rate_limit/rate_bucket.h"
#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

/// Identifies one request; chosen by the caller, never reused.
using AdmissionId = std::uint64_t;

/// How a dispatched request ended.
enum class ServerOutcome : std::uint8_t {
  kAnswered,   ///< With a success, or with an error that the client caused.
  kFailed,     ///< With an error that the server caused.
  kDeadline,   ///< The server answered that the request's deadline had passed.
  kNotRun,     ///< The server answered that it did not run the request.
  kLost,       ///< The connection closed before the answer came.
  kNoAnswer,   ///< No answer before the deadline, or no connection to the server.
  kWithdrawn,  ///< The caller gave up, or the request was never sent to the server.
};

/// Whether the server worked on the request to its end, so that the time taken shows its speed.
inline bool isCompletedRun(ServerOutcome outcome) {
  return outcome == ServerOutcome::kAnswered || outcome == ServerOutcome::kDeadline;
}

enum class AdmissionVerdict : std::uint8_t {
  kDispatch,
  kWait,
  kRefuse,         ///< For want of slots.
  kRefuseForRate,  ///< For the rate that the server names.
};

struct AdmissionRequest {
  AdmissionId id = 0;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Duration patience{0};        ///< The longest that it may wait.
  Duration reference_wait{
      0};                ///< The wait that counts as full pressure; core/admission/patience.h.
  bool is_call = false;  ///< Sent by a server, or its origin is not known.
  /// The server's time for requests of its route; unknown counts as 0.
  std::optional<Duration> service_time = std::nullopt;
};

class ServerAdmission {
 public:
  /// `slots` as the server reports them; `max_connections` that it accepts from all callers, 0 for
  /// unknown. Each request under way holds one connection. Before the first call the limit is 1.
  void setSlots(std::uint32_t slots, std::uint32_t max_connections = 0);
  /// The requests a second that the server takes; nothing for no limit.
  void setRate(std::optional<request_rate> rate, TimePoint now);
  AdmissionVerdict offer(const AdmissionRequest& request, TimePoint now);
  /// A request that was dispatched at `begun` has ended.
  void onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now);
  /// A dispatched request ended before it was sent to the server, so the server did not get it.
  void onNotSent(TimePoint now) { rate_.return_token(now); }
  /// Removes a waiting request; ignored if it does not wait.
  void withdraw(AdmissionId id);
  /// The next waiting request, if the server has a free slot and its rate a place; it counts as
  /// dispatched.
  std::optional<AdmissionId> takeDispatchable(TimePoint now);
  /// Removes and returns the waiting requests whose patience has ended.
  std::vector<AdmissionId> takeExpired(TimePoint now);
  /// When takeExpired() may next return a request.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;
  /// When takeDispatchable() may next return a request that waits for its place in the rate.
  [[nodiscard]] std::optional<TimePoint> nextRateToken(TimePoint now) const;
  /// Whether a request that waits now does so for the rate, not for a slot.
  [[nodiscard]] bool isRateLimited() const { return rate_.is_limited() && underWay() < limit_; }

  [[nodiscard]] std::size_t underWay() const {
    return static_cast<std::size_t>(service_time_.under_way());
  }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  /// Requests that may be under way at a time.
  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  /// Time that the server takes for a request, over all routes; see service_time_estimate.
  [[nodiscard]] Duration serviceTime(TimePoint now) const;
  /// Smoothed share of requests that the server failed, did not run or left without an answer, in
  /// thousandths.
  [[nodiscard]] std::uint32_t failedPermille() const;
  /// Requests offered of late as a multiple of the rate that the server names; 0 without one.
  [[nodiscard]] double demand(TimePoint now) const { return rate_.demand(now); }
  /// Work that the front is to keep away from this server.
  [[nodiscard]] shed_level shedLevel(TimePoint now) const { return overload_.level(now); }

 private:
  /// A place in the queue; smaller ones are dispatched first.
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
    TimePoint until{0};  ///< End of its patience.
  };
  // Until requests were done.
  static constexpr Duration kInitialServiceTime = milliseconds(50);

  /// Share of the slots or of the rate in use, whichever is higher; 0 to 1.
  [[nodiscard]] double utilization(TimePoint now) const;
  void noteCallPriority(std::uint32_t priority, TimePoint now);
  Position positionOf(const AdmissionRequest& request, TimePoint now);
  /// How long a request at `position` would wait at the present service time for a slot.
  [[nodiscard]] Duration waitForSlot(const Position& position) const;
  /// How long it would wait for its place in the rate.
  [[nodiscard]] Duration waitForRate(const Position& position, TimePoint now) const;
  /// Requests that would be dispatched before the one at `position`, and itself.
  [[nodiscard]] std::size_t turnOf(const Position& position) const;

  std::uint32_t limit_ = 1;
  std::uint64_t arrivals_ = 0;
  std::optional<std::uint32_t> most_urgent_call_;  ///< Priority of the most urgent recent call.
  TimePoint most_urgent_call_seen_{0};
  std::map<Position, Waiting> waiting_;
  std::map<AdmissionId, Position> positions_;
  service_time_estimate service_time_{kInitialServiceTime};
  double failed_share_ = 0;  ///< Smoothed, 0 to 1.
  overload_controller overload_;
  rate_bucket rate_;
};

}  // namespace ramppond
