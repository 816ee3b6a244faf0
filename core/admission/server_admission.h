// Admission control for one server: a request is dispatched at once, queued or refused.
//
// Input: each request with its priority and patience (microseconds), the outcome of each dispatched
// request, the server's slots and the limit of requests per second that it names. Output: dispatch,
// wait or refuse; the order of the queue; the load that is reported to other proxies (service time,
// share of failed requests, shed level). Owns the count of requests in flight, the token bucket of
// the named limit and the queue. Relies on seeing every request to the server, which holds because
// only the proxy beside a server can reach it. No I/O; not thread safe.
//
// A request is dispatched while fewer requests than the limit are in flight and the token bucket
// has a token. Neither limit is ever exceeded, because some servers never answer requests that they
// cannot queue. Other requests wait in order of rank, then of due time: the end of their patience
// plus their service time, so that long requests don't take the slots of many short ones. A call
// does not carry the rank of the client request that it serves. A client's request is therefore
// ranked no lower than the most urgent recent call: it was admitted at the edge, and would starve
// behind the calls of other requests.
//
// With fair shares (core/admission/fair_shares.h), a request of known root has the rank of its
// root, and requests of callers beyond their share wait behind all others of their rank. One of
// them is removed from a full queue for a request within its share.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/admission/fair_shares.h"
#include "core/admission/overload_controller.h"
#include "core/admission/service_times.h"
#include "core/rate_limit/rate_bucket.h"
#include "core/rate_limit/request_rate.h"
#include "core/request_root.h"
#include "core/time.h"

namespace ramppond {

/// Identifies one request. Chosen by the caller and never reused.
using AdmissionId = std::uint64_t;

/// How a dispatched request ended.
enum class ServerOutcome : std::uint8_t {
  kAnswered,   ///< Answered with a success or with an error that the client caused.
  kFailed,     ///< Answered with an error that the server caused.
  kDeadline,   ///< The server answered that the request's deadline had passed.
  kNotRun,     ///< The server answered that it did not run the request.
  kLost,       ///< The connection closed before the answer arrived.
  kNoAnswer,   ///< No answer before the deadline, or no connection to the server.
  kWithdrawn,  ///< The caller abandoned the request, or it was never sent to the server.
};

/// Returns whether the server completed the request, so that its duration is a service time.
inline bool isCompletedRun(ServerOutcome outcome) {
  return outcome == ServerOutcome::kAnswered || outcome == ServerOutcome::kDeadline;
}

enum class AdmissionVerdict : std::uint8_t {
  kDispatch,
  kWait,
  kRefuse,         ///< Because of the slots.
  kRefuseForRate,  ///< Because of the rate that the server names.
};

struct AdmissionRequest {
  AdmissionId id = 0;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Duration patience{0};        ///< The maximum time that it may wait.
  Duration reference_wait{0};  ///< Counts as full pressure; see core/admission/patience.h.
  bool is_call = false;        ///< Sent by a server, or of unknown origin.
  /// The server's service time for the route of the request; unknown counts as 0.
  std::optional<Duration> service_time = std::nullopt;
  /// Root of its call tree, if its sender told it.
  std::optional<request_root> root = std::nullopt;
  /// Current slowdown of the server's machine; see core/admission/machine_slowdown.h.
  slowdown_factor slowdown = {};
  /// Service whose server sent it; it is charged if the caller at the root is unknown.
  std::string calling_service = {};
};

class ServerAdmission {
 public:
  /// Sets the capacity of the server: the `slots` that it reports and the `max_connections` that it
  /// accepts from all callers, 0 for unknown. Each request in flight holds one connection. Before
  /// the first call the limit is 1.
  void setSlots(std::uint32_t slots, std::uint32_t max_connections = 0);
  /// Sets the rate that the server accepts; std::nullopt for no limit.
  void setRate(std::optional<request_rate> rate, TimePoint now);
  /// Whether callers get fair shares of the server; not before the first call. The accounts are
  /// empty after each change.
  void setFairShares(bool active);
  /// Decides on a new request. A dispatched request counts as in flight until onFinished().
  AdmissionVerdict offer(const AdmissionRequest& request, TimePoint now);
  /// Records that a request that was dispatched at `begun` has ended. `id` is needed only for fair
  /// shares; `usual_time` as in service_time_estimate::on_ended().
  void onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now, AdmissionId id = 0,
                  std::optional<Duration> usual_time = std::nullopt);
  /// Records that a dispatched request was not sent to the server; its token is returned.
  void onNotSent(TimePoint now) { rate_.return_token(now); }
  /// Removes a waiting request. Ignored if the request is not waiting.
  void withdraw(AdmissionId id);
  /// Removes and returns the next waiting request, which then counts as dispatched. Returns
  /// std::nullopt if there is no free slot, no rate token or no waiting request.
  std::optional<AdmissionId> takeDispatchable(TimePoint now);
  /// Removes and returns the waiting requests whose patience has ended.
  std::vector<AdmissionId> takeExpired(TimePoint now);
  /// Returns the requests that offer() removed from the full queue in favour of others.
  std::vector<AdmissionId> takeEvicted() { return std::exchange(evicted_, {}); }
  /// Returns when takeExpired() may next return a request.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;
  /// Returns when takeDispatchable() may next return a request that waits for a rate token.
  [[nodiscard]] std::optional<TimePoint> nextRateToken(TimePoint now) const;
  /// Returns whether waiting requests wait for the rate and not for a slot.
  [[nodiscard]] bool isRateLimited() const { return rate_.is_limited() && underWay() < limit_; }

  [[nodiscard]] std::size_t underWay() const {
    return static_cast<std::size_t>(service_time_.under_way());
  }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  /// Maximum number of requests in flight.
  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  /// Service time of the server over all routes; see service_time_estimate.
  [[nodiscard]] Duration serviceTime(TimePoint now, slowdown_factor slowdown = {}) const;
  /// Smoothed share of requests that the server failed, did not run or did not answer, in
  /// thousandths.
  [[nodiscard]] std::uint32_t failedPermille() const;
  /// Recently offered requests as a multiple of the rate that the server names; 0 without a rate.
  [[nodiscard]] double demand(TimePoint now) const { return rate_.demand(now); }
  /// Work that proxies at the edge must shed for this server.
  [[nodiscard]] shed_level shedLevel(TimePoint now) const { return overload_.level(now); }
  /// Share of the recent requests of this request's caller that were beyond its fair share, 0 to 1.
  [[nodiscard]] double excessOf(const AdmissionRequest& request, TimePoint now) const;
  /// The accounts of callers; std::nullopt without fair shares.
  [[nodiscard]] const std::optional<fair_shares>& shares() const { return shares_; }

 private:
  /// A position in the queue. Smaller ones are dispatched first.
  struct Position {
    std::uint32_t rank = 0;
    bool beyond = false;  ///< Its caller exceeds its share.
    TimePoint due{0};
    std::uint64_t arrival = 0;
    bool operator<(const Position& other) const {
      return std::tie(rank, beyond, due, arrival) <
             std::tie(other.rank, other.beyond, other.due, other.arrival);
    }
  };
  struct Waiting {
    AdmissionId id = 0;
    TimePoint until{0};  ///< End of its patience.
  };
  using Queue = std::map<Position, Waiting>;
  /// Order of the waiting requests within a rank.
  enum class QueueOrder : std::uint8_t { kByDue, kByShareThenDue };
  struct Waits {
    Duration for_slot{0};  ///< At the current service time.
    Duration for_rate{0};  ///< For a token of the named rate.
  };
  // Used until the first request is completed.
  static constexpr Duration kInitialServiceTime = milliseconds(50);

  /// Share of the slots or of the rate in use, whichever is higher, 0 to 1.
  [[nodiscard]] double utilization(TimePoint now) const;
  void noteCallPriority(std::uint32_t priority, TimePoint now);
  [[nodiscard]] std::uint32_t rankOf(const AdmissionRequest& request) const;
  [[nodiscard]] share_key shareKeyOf(const AdmissionRequest& request) const;
  /// What the request is expected to cost of the server's slots.
  [[nodiscard]] Duration costOf(const AdmissionRequest& request) const;
  Position positionOf(const AdmissionRequest& request, TimePoint now);
  /// Slots that can be in use when the server is full: fewer than the limit with a low rate.
  [[nodiscard]] double usableSlots(slowdown_factor slowdown, TimePoint now) const;
  /// Decides on a request that cannot be dispatched at once.
  AdmissionVerdict offerToQueue(const AdmissionRequest& request, TimePoint now);
  /// Returns how the request would wait at `position`.
  [[nodiscard]] Waits waitsAt(const Position& position, QueueOrder order, slowdown_factor slowdown,
                              TimePoint now) const;
  AdmissionVerdict judgeWaits(const AdmissionRequest& request, const Position& position,
                              const Waits& waits);
  /// Makes room in a full queue for a request at `position`. Returns whether there is room.
  bool makeRoom(const Position& position);
  void enqueue(const AdmissionRequest& request, const Position& position, TimePoint now);
  /// Counts a request that was refused or has waited in vain.
  void noteUnserved(const Position& position);
  /// Removes a request that is not dispatched from the queue; returns the following one.
  Queue::iterator removeUnserved(Queue::iterator waiting);
  /// The request that is dispatched next.
  Queue::iterator nextInOrder(TimePoint now);
  Queue::iterator firstUnexpired(Queue::iterator from, TimePoint now);
  /// Number of requests dispatched up to and including the one at `position`.
  [[nodiscard]] std::size_t requestsUpTo(const Position& position, QueueOrder order) const;

  std::uint32_t limit_ = 1;
  std::uint64_t arrivals_ = 0;
  std::optional<std::uint32_t> most_urgent_call_;  ///< Priority of the most urgent recent call.
  TimePoint most_urgent_call_seen_{0};
  Queue waiting_;
  std::map<AdmissionId, Position> positions_;
  std::set<Position> beyond_;  ///< Positions of the waiting requests beyond their callers' shares.
  std::vector<AdmissionId> evicted_;
  std::optional<fair_shares> shares_;
  service_time_estimate service_time_{kInitialServiceTime};
  double failed_share_ = 0;  ///< Smoothed, 0 to 1.
  overload_controller overload_;
  rate_bucket rate_;
  std::optional<request_rate> named_rate_;  ///< As in rate_.
};

}  // namespace ramppond
