// The calls that leave this daemon: routing, attempts, retries within the allowance, deadlines.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_model/call.h"
#include "core/call_model/router.h"
#include "core/call_port/call_scope.h"
#include "core/call_port/daemon_actions.h"
#include "core/call_port/overload_policy.h"
#include "core/call_port/retry_token_bucket.h"

namespace ramppond {

/// One call to make.
struct OutboundSpec {
  RequestToken token = 0;
  std::shared_ptr<CallScope> scope;  ///< On whose behalf.
  std::string service;
  CallPayload payload;
  bool repeatable = false;
  std::string idempotency_key;  ///< Scoped claim key, or empty.
};

/// A call that is over.
struct OutboundResult {
  RequestToken token = 0;
  CallAnswer answer;
  std::shared_ptr<CallScope> scope;
};

struct OutboundCounters {
  std::uint64_t started = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t mismatched_answers = 0;
  std::uint64_t no_server = 0;
  std::uint64_t cancelled = 0;
};

/// Not thread safe. One attempt of a call is under way at a time; a call whose earlier attempt may
/// have run never ends as not_run.
class OutboundCalls {
 public:
  OutboundCalls(std::uint64_t incarnation, OverloadPolicy policy, Router& router)
      : incarnation_(incarnation), policy_(std::move(policy)), router_(router) {}

  void start(OutboundSpec spec, TimePoint now, DaemonActions& actions);
  void onAnswer(const CallId& attempt, const CallAnswer& answer, TimePoint now,
                DaemonActions& actions);
  void onFailure(const CallId& attempt, bool never_sent, TimePoint now, DaemonActions& actions);
  void cancel(RequestToken token, TimePoint now, DaemonActions& actions);
  /// The list of a service's servers has arrived or changed.
  void onServersChanged(const std::string& service, TimePoint now, DaemonActions& actions);
  void tick(TimePoint now, DaemonActions& actions);

  std::vector<OutboundResult> takeResults() { return std::exchange(results_, {}); }
  /// Services that were called but whose servers are not known.
  std::vector<std::string> takeUnknownServices() { return std::exchange(unknown_services_, {}); }
  [[nodiscard]] bool idle() const { return calls_.empty(); }
  [[nodiscard]] const OutboundCounters& counters() const { return counters_; }

 private:
  struct Call {
    OutboundSpec spec;
    CallId attempt;  ///< Sequence 0 while waiting for servers.
    std::string server;
    std::vector<std::string> tried;
    std::uint32_t lent = 0;
    std::uint32_t attempts = 0;  ///< Without handshakes.
    bool handshake = false;
    bool may_have_run = false;  ///< An attempt ended with an unknown outcome.
    TimePoint sent{0};
    TimePoint due{0};  ///< Of the attempt.
  };
  using CallMap = std::map<RequestToken, Call>;

  void sendAttempt(Call& call, const RouteChoice& route, TimePoint now, DaemonActions& actions);
  void tryNext(CallMap::iterator position, TimePoint now, DaemonActions& actions);
  void conclude(CallMap::iterator position, CallAnswer answer, TimePoint now,
                DaemonActions& actions);
  bool mayRetry(Call& call, const CallAnswer& answer, const std::optional<RouteChoice>& route,
                TimePoint now);
  void finish(CallMap::iterator position, CallAnswer answer, TimePoint now);
  void expireCall(CallMap::iterator position, TimePoint now, DaemonActions& actions);
  CallMap::iterator callOfAttempt(const CallId& attempt);
  [[nodiscard]] TimePoint attemptDue(const Call& call, TimePoint now) const;
  void schedule(const Call& call);

  std::uint64_t incarnation_;
  OverloadPolicy policy_;
  Router& router_;
  std::uint64_t sequence_ = 0;
  CallMap calls_;
  std::unordered_map<std::uint64_t, RequestToken> attempts_;  ///< By attempt sequence.
  std::multimap<TimePoint, RequestToken> timers_;
  std::map<std::string, RetryTokenBucket> buckets_;
  std::vector<OutboundResult> results_;
  std::vector<std::string> unknown_services_;
  OutboundCounters counters_;
};

}  // namespace ramppond
