// The calls that this daemon's own back end is to run: admission, queue, claim, dispatch, answer.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "core/call_model/call.h"
#include "core/call_port/admission_cut.h"
#include "core/call_port/admission_queue.h"
#include "core/call_port/call_scope.h"
#include "core/call_port/concurrency_limiter.h"
#include "core/call_port/daemon_actions.h"
#include "core/call_port/overload_policy.h"
#include "core/call_port/seen_calls.h"
#include "core/control/control_state.h"
#include "core/random.h"
#include "core/rate_limit/effective_limit.h"
#include "core/rate_limit/rate_bucket.h"

namespace ramppond {

struct InboundOptions {
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;  ///< Configured concurrency of the back end.
  OverloadPolicy policy;
  Duration claim_timeout = milliseconds(1500);
  std::uint64_t random_seed = 1;
};

/// What a back end gave back.
struct BackendAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool refused = false;   ///< The back end shed the call without running it.
  bool draining = false;  ///< The back end says that it is leaving.
  named_limit limit;      ///< The calls a second that the back end says it takes.
};

/// A claim command for the control session to carry.
struct ClaimAction {
  CommandType type = CommandType::kClaim;
  ClaimCommand command;
};

struct InboundCounters {
  std::uint64_t received = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_overload = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t claims_denied = 0;
  std::uint64_t claims_timed_out = 0;
};

/// Not thread safe. Says not_run only for calls it never dispatched, and refuses every later copy
/// of an id it has seen, so that a not_run stays true.
class InboundCalls {
 public:
  explicit InboundCalls(InboundOptions options);

  void onRequest(const CallRequest& request, TimePoint now, DaemonActions& actions);
  void onBackendAnswer(const CallId& id, const BackendAnswer& answer, TimePoint now,
                       DaemonActions& actions);
  /// The back end gave no answer; `never_sent` when no byte of the call left.
  void onBackendFailure(const CallId& id, bool never_sent, TimePoint now, DaemonActions& actions);
  void onClaimReply(const CallId& id, const ClaimReply& reply, TimePoint now,
                    DaemonActions& actions);
  /// The calling daemon closed the connection.
  void cancel(const CallId& id, TimePoint now, DaemonActions& actions);
  void tick(TimePoint now, DaemonActions& actions);

  /// From now on every new call is refused as not_run; queued and running ones finish.
  void startDrain() { draining_ = true; }
  void stopDrain() { draining_ = false; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] bool idle() const { return calls_.empty(); }

  /// The scope of the running call with that handle, or nothing.
  std::shared_ptr<CallScope> scopeOfHandle(const std::string& handle);
  /// Outbound calls to cancel, of calls that have ended.
  std::vector<std::uint64_t> takeOrphans() { return std::exchange(orphans_, {}); }
  std::vector<ClaimAction> takeClaimActions() { return std::exchange(claim_actions_, {}); }

  [[nodiscard]] const InboundCounters& counters() const { return counters_; }
  [[nodiscard]] std::size_t inFlight() const { return in_flight_.size(); }
  [[nodiscard]] std::size_t queued() const { return queue_.size(); }
  [[nodiscard]] std::uint32_t concurrencyLimit() const { return limiter_->limit(); }
  /// The calls a second that the back end names; nothing for no limit.
  [[nodiscard]] std::optional<request_rate> rateLimit() const { return named_.rate(); }
  [[nodiscard]] Level cut() const { return cut_.cut(); }

 private:
  enum class State : std::uint8_t { kQueued, kClaiming, kDispatched };
  struct Call {
    CallRequest request;
    std::shared_ptr<CallScope> scope;
    State state = State::kQueued;
    TimePoint dispatched{0};
    TimePoint claim_due{0};
    std::string handle;
    bool abandoned = false;  ///< Nobody waits for the answer any more.
  };
  using CallMap = std::unordered_map<CallId, Call, CallIdHash>;

  void refuse(const CallRequest& request, ErrorKind kind, DaemonActions& actions);
  void finish(CallMap::iterator position, CallAnswer answer, DaemonActions& actions);
  void refuseQueued(const CallId& id, ErrorKind kind, DaemonActions& actions);
  /// Whether the back end takes another call now, by its slots and by the rate that it names.
  [[nodiscard]] bool hasRoom(TimePoint now) const;
  void noteLimit(const BackendAnswer& answer, TimePoint dispatched, TimePoint now);
  void pump(TimePoint now, DaemonActions& actions);
  void start(Call& call, TimePoint now, DaemonActions& actions);
  void dispatch(Call& call, TimePoint now, DaemonActions& actions);
  void complete(Call& call, CallAnswer& answer);
  void expire(TimePoint now, DaemonActions& actions);
  void claimAction(CommandType type, const Call& call, const CallAnswer* answer);
  void stamp(CallAnswer& answer) const;
  [[nodiscard]] bool needsClaim(const Call& call) const;
  [[nodiscard]] ClaimCommand claimCommandOf(const Call& call) const;
  [[nodiscard]] std::size_t queueBound() const;
  /// Smoothed; a first guess before a call has ended.
  [[nodiscard]] double serviceTimeUs() const;
  /// Slots that calls can keep busy within the limits of the back end; at least one.
  [[nodiscard]] double usableSlots() const;
  [[nodiscard]] Duration retryAfter();
  [[nodiscard]] Level queueLevel(const CallContext& context) const;

  InboundOptions options_;
  std::unique_ptr<ConcurrencyLimiter> limiter_;
  effective_limit named_;  ///< Calls a second, as the back end names it.
  rate_bucket rate_;
  AdmissionQueue queue_;
  AdmissionCut cut_;
  SeenCalls seen_;
  Random random_;
  CallMap calls_;
  std::unordered_map<std::string, CallId> handles_;
  std::vector<std::uint64_t> orphans_;
  std::vector<ClaimAction> claim_actions_;
  std::set<CallId> in_flight_;  ///< Calls that hold a slot: claiming or dispatched.
  double service_time_us_ = 0;
  bool draining_ = false;
  TimePoint next_expiry_{0};
  TimePoint next_forget_{0};
  InboundCounters counters_;
};

}  // namespace ramppond
