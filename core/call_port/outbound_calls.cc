#include "core/call_port/outbound_calls.h"

#include <algorithm>

namespace ramppond {
namespace {

// How long a call waits for the first list of a service's servers.
constexpr Duration kServersTimeout = milliseconds(1000);
// A repeatable attempt gets this share of the time left, so that a retry can still succeed.
constexpr double kAttemptShare = 0.5;
constexpr Duration kShortestAttempt = milliseconds(50);

}  // namespace

void OutboundCalls::start(OutboundSpec spec, TimePoint now, DaemonActions& actions) {
  counters_.started += 1;
  spec.scope->callStarted(spec.token, now);
  const RequestToken token = spec.token;
  Call call;
  call.spec = std::move(spec);
  const auto position = calls_.emplace(token, std::move(call)).first;
  if (!router_.knows(position->second.spec.service)) {
    unknown_services_.push_back(position->second.spec.service);
    position->second.due = std::min(now + kServersTimeout, position->second.spec.scope->deadline());
    schedule(position->second);
    return;
  }
  tryNext(position, now, actions);
}

void OutboundCalls::schedule(const Call& call) {
  timers_.emplace(call.due, call.spec.token);
}

void OutboundCalls::tryNext(CallMap::iterator position, TimePoint now, DaemonActions& actions) {
  Call& call = position->second;
  if (now >= call.spec.scope->deadline()) {
    finish(position, errorCallAnswer({}, ErrorKind::kDeadlineExceeded), now);
    return;
  }
  const auto route = router_.choose(call.spec.service, call.tried, now);
  if (!route) {
    counters_.no_server += 1;
    finish(position, errorCallAnswer({}, ErrorKind::kNoServer), now);
    return;
  }
  sendAttempt(call, *route, now, actions);
}

TimePoint OutboundCalls::attemptDue(const Call& call, TimePoint now) const {
  const TimePoint deadline = call.spec.scope->deadline();
  const bool may_retry = policy_.retry_scope == RetryScope::kPerHop
                             ? call.attempts <= policy_.retries_per_hop
                             : call.spec.scope->retries() > 0;
  if (!call.handshake && (!call.spec.repeatable || !may_retry)) {
    return deadline;
  }
  const auto left = static_cast<double>((deadline - now).count());
  const auto share = Duration(static_cast<std::int64_t>(left * kAttemptShare));
  return std::min(deadline, now + std::max(kShortestAttempt, share));
}

void OutboundCalls::sendAttempt(Call& call, const RouteChoice& route, TimePoint now,
                                DaemonActions& actions) {
  call.handshake = route.incarnation == 0;
  call.attempt = CallId{incarnation_, ++sequence_};
  call.server = route.server;
  call.sent = now;
  CallRequest request;
  request.id = call.attempt;
  request.receiver_incarnation = route.incarnation;
  request.context = call.spec.scope->context();
  request.context.time_left = call.spec.scope->deadline() - now;
  request.context.depth += 1;
  request.context.repeatable = call.spec.repeatable;
  request.context.idempotency_key = call.spec.idempotency_key;
  request.context.retry_allowance = 0;
  request.service = call.spec.service;
  request.payload.path = call.spec.payload.path;
  if (!call.handshake) {
    counters_.attempts += 1;
    call.attempts += 1;
    call.lent = call.spec.scope->lend();
    request.context.retry_allowance = call.lent;
    request.payload = call.spec.payload;
  }
  call.due = attemptDue(call, now);
  schedule(call);
  attempts_[call.attempt.sequence] = call.spec.token;
  router_.onSent(call.spec.service, call.server);
  actions.emplace_back(SendToPeer{route.peer_address, std::move(request)});
}

OutboundCalls::CallMap::iterator OutboundCalls::callOfAttempt(const CallId& attempt) {
  const auto found = attempts_.find(attempt.sequence);
  if (attempt.sender != incarnation_ || found == attempts_.end()) {
    return calls_.end();
  }
  const RequestToken token = found->second;
  attempts_.erase(found);
  return calls_.find(token);
}

void OutboundCalls::onAnswer(const CallId& attempt, const CallAnswer& answer, TimePoint now,
                             DaemonActions& actions) {
  const bool intact = !policy_.check_answer_id ||
                      (answer.id == attempt && answer.body_checksum == bodyChecksum(answer.body));
  if (!intact) {
    counters_.mismatched_answers += 1;
    onFailure(attempt, false, now, actions);
    return;
  }
  const auto position = callOfAttempt(attempt);
  if (position == calls_.end()) {
    counters_.late_answers += 1;
    return;
  }
  Call& call = position->second;
  call.attempt = CallId{};
  ServerFeedback feedback;
  feedback.incarnation = answer.receiver_incarnation;
  feedback.latency = now - call.sent;
  feedback.load_permille = answer.load_permille;
  feedback.draining = answer.draining;
  feedback.refused = answer.error != ErrorKind::kNone && !call.handshake;
  router_.onAnswer(call.spec.service, call.server, feedback, now);
  call.spec.scope->observeCut(answer.chain_cut);
  if (call.handshake) {
    if (now >= call.spec.scope->deadline() || answer.receiver_incarnation == 0) {
      finish(position, errorCallAnswer({}, ErrorKind::kDeadlineExceeded), now);
      return;
    }
    tryNext(position, now, actions);
    return;
  }
  call.spec.scope->giveBack(call.lent, answer.retries_returned);
  call.lent = 0;
  if (answer.error == ErrorKind::kNone) {
    buckets_[call.spec.service].onSuccess();
  }
  conclude(position, answer, now, actions);
}

void OutboundCalls::onFailure(const CallId& attempt, bool never_sent, TimePoint now,
                              DaemonActions& actions) {
  const auto position = callOfAttempt(attempt);
  if (position == calls_.end()) {
    return;
  }
  Call& call = position->second;
  call.attempt = CallId{};
  router_.onFailure(call.spec.service, call.server, never_sent, now);
  const bool harmless = never_sent || call.handshake;
  if (never_sent) {
    call.spec.scope->giveBack(call.lent, call.lent);
  }
  call.lent = 0;
  conclude(position,
           errorCallAnswer({}, harmless ? ErrorKind::kBackendUnreachable : ErrorKind::kServerLost),
           now, actions);
}

// Ends the call with `answer`, or tries another server.
void OutboundCalls::conclude(CallMap::iterator position, CallAnswer answer, TimePoint now,
                             DaemonActions& actions) {
  Call& call = position->second;
  if (answer.outcome == Outcome::kUnknown) {
    call.may_have_run = true;
  }
  if (answer.error != ErrorKind::kNone) {
    call.tried.push_back(call.server);
    const auto route = router_.choose(call.spec.service, call.tried, now);
    if (mayRetry(call, answer, route, now)) {
      counters_.retries += 1;
      sendAttempt(call, *route, now, actions);
      return;
    }
  }
  finish(position, std::move(answer), now);
}

bool OutboundCalls::mayRetry(Call& call, const CallAnswer& answer,
                             const std::optional<RouteChoice>& route, TimePoint now) {
  const bool safe = answer.outcome == Outcome::kNotRun ||
                    (answer.outcome == Outcome::kUnknown && call.spec.repeatable);
  const bool useful = errorAnswer(answer.error).retry_elsewhere && route &&
                      now < call.spec.scope->deadline() &&
                      (policy_.retry_scope == RetryScope::kPerHop || !route->last_resort);
  if (!safe || !useful) {
    return false;
  }
  const bool within_scope = policy_.retry_scope == RetryScope::kPerHop
                                ? call.attempts <= policy_.retries_per_hop
                                : call.spec.scope->retries() > 0;
  const bool paid =
      within_scope && (!policy_.retry_token_bucket || buckets_[call.spec.service].take());
  if (!paid) {
    counters_.retries_denied += 1;
    return false;
  }
  return policy_.retry_scope == RetryScope::kPerHop || call.spec.scope->spendRetry();
}

void OutboundCalls::finish(CallMap::iterator position, CallAnswer answer, TimePoint now) {
  Call& call = position->second;
  if (call.may_have_run && answer.outcome == Outcome::kNotRun) {
    answer.outcome = Outcome::kUnknown;
  }
  call.spec.scope->callEnded(call.spec.token, now);
  results_.push_back({call.spec.token, std::move(answer), call.spec.scope});
  calls_.erase(position);
}

void OutboundCalls::cancel(RequestToken token, TimePoint now, DaemonActions& actions) {
  const auto position = calls_.find(token);
  if (position == calls_.end()) {
    return;
  }
  Call& call = position->second;
  counters_.cancelled += 1;
  if (call.attempt.sequence != 0) {
    attempts_.erase(call.attempt.sequence);
    router_.onAbandoned(call.spec.service, call.server);
    actions.emplace_back(CancelPeer{call.attempt});
  }
  call.spec.scope->callEnded(token, now);
  calls_.erase(position);
}

void OutboundCalls::onServersChanged(const std::string& service, TimePoint now,
                                     DaemonActions& actions) {
  std::vector<RequestToken> waiting;
  for (const auto& [token, call] : calls_) {
    if (call.spec.service == service && call.attempt.sequence == 0) {
      waiting.push_back(token);
    }
  }
  for (const RequestToken token : waiting) {
    tryNext(calls_.find(token), now, actions);
  }
}

void OutboundCalls::tick(TimePoint now, DaemonActions& actions) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto [due, token] = *timers_.begin();
    timers_.erase(timers_.begin());
    const auto position = calls_.find(token);
    if (position != calls_.end() && position->second.due <= now) {
      expireCall(position, now, actions);
    }
  }
}

void OutboundCalls::expireCall(CallMap::iterator position, TimePoint now, DaemonActions& actions) {
  Call& call = position->second;
  if (call.attempt.sequence == 0) {
    const bool expired = now >= call.spec.scope->deadline();
    const ErrorKind kind = expired ? ErrorKind::kDeadlineExceeded : ErrorKind::kNoServer;
    finish(position, errorCallAnswer({}, kind), now);
    return;
  }
  const CallId attempt = call.attempt;
  actions.emplace_back(CancelPeer{attempt});
  if (now < call.spec.scope->deadline()) {
    onFailure(attempt, false, now, actions);
    return;
  }
  attempts_.erase(attempt.sequence);
  router_.onFailure(call.spec.service, call.server, false, now);
  call.may_have_run = call.may_have_run || !call.handshake;
  finish(position, errorCallAnswer({}, ErrorKind::kDeadlineExceeded), now);
}

}  // namespace ramppond
