#include "core/call_port/inbound_calls.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

constexpr double kServiceTimeSmoothing = 0.05;
constexpr double kInitialServiceTimeUs = 20000;
constexpr std::size_t kMinimumQueueBound = 2;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kThousandths = 1000;
constexpr Duration kExpiryInterval = milliseconds(5);
constexpr Duration kForgetInterval = seconds(30);
// A call that has less time left than this share of a usual service time is not started.
constexpr double kMinimumTimeShare = 0.5;
constexpr Duration kMinimumRetryAfter = milliseconds(200);
constexpr Duration kMaximumRetryAfter = seconds(5);
// A claimed call that outlives its deadline runs on this long, so that its answer can be kept.
constexpr Duration kClaimedCallGrace = seconds(10);

std::uint64_t fingerprintOf(const CallPayload& payload) {
  return bodyChecksum(payload.method + '\n' + payload.path + '\n' + payload.body);
}

}  // namespace

InboundCalls::InboundCalls(InboundOptions options)
    : options_(std::move(options)),
      limiter_(makeConcurrencyLimiter(options_.policy.limiter, options_.slots)),
      queue_(options_.policy.queue_order),
      random_(options_.random_seed) {}

void InboundCalls::onRequest(const CallRequest& request, TimePoint now, DaemonActions& actions) {
  if (request.receiver_incarnation != options_.incarnation) {
    refuse(request, ErrorKind::kServerRestarted, actions);
    return;
  }
  counters_.received += 1;
  const bool copy = !seen_.firstTime(request.id, now);
  if (copy && (options_.policy.refuse_copies || calls_.count(request.id) != 0)) {
    counters_.duplicates += 1;
    refuse(request, ErrorKind::kDuplicateCall, actions);
    return;
  }
  if (draining_ && options_.policy.refuse_when_draining) {
    counters_.refused_draining += 1;
    refuse(request, ErrorKind::kDraining, actions);
    return;
  }
  if (request.context.time_left <= Duration(0)) {
    counters_.refused_deadline += 1;
    refuse(request, ErrorKind::kDeadlineExceeded, actions);
    return;
  }
  cut_.onArrival(request.context.level, now);
  rate_.on_offer(now);
  Call call;
  call.request = request;
  call.scope = std::make_shared<CallScope>(request.context, now + request.context.time_left);
  calls_.emplace(request.id, std::move(call));
  queue_.push(request.id, queueLevel(request.context), now);
  pump(now, actions);
  if (options_.policy.bounded_queue && queue_.size() > queueBound()) {
    refuseQueued(*queue_.popWorst(), ErrorKind::kOverloaded, actions);
  }
}

// A call inside a started front request is preferred a little within its band: what has been
// spent on the request is lost if it fails now.
Level InboundCalls::queueLevel(const CallContext& context) const {
  const Level preference = context.depth > 1 ? options_.policy.started_work_preference : 0;
  const Level position = context.level % kPositionsPerBand;
  return context.level - std::min(position, preference);
}

double InboundCalls::serviceTimeUs() const {
  return service_time_us_ > 0 ? service_time_us_ : kInitialServiceTimeUs;
}

// By Little's law a rate keeps as many slots busy as calls arrive in one service time.
double InboundCalls::usableSlots() const {
  const auto rate = named_.rate();
  const double slots = limiter_->limit();
  const double busy = rate ? rate->per_second * serviceTimeUs() / kMicrosecondsPerSecond : slots;
  return std::max(1.0, std::min(slots, busy));
}

std::size_t InboundCalls::queueBound() const {
  const double waiting = static_cast<double>(options_.policy.maximum_queue_wait.count());
  const double bound = std::ceil(usableSlots() * waiting / serviceTimeUs());
  return std::max(kMinimumQueueBound, static_cast<std::size_t>(bound));
}

bool InboundCalls::hasRoom(TimePoint now) const {
  return in_flight_.size() < limiter_->limit() && rate_.wait_for(1, now) == Duration(0);
}

void InboundCalls::noteLimit(const BackendAnswer& answer, TimePoint dispatched, TimePoint now) {
  if (named_.on_answer(answer.limit, dispatched, now)) {
    rate_.set(named_.rate(), now);
  }
}

void InboundCalls::pump(TimePoint now, DaemonActions& actions) {
  while (hasRoom(now)) {
    const auto next = queue_.popBest();
    if (!next) {
      return;
    }
    Call& call = calls_.at(*next);
    const Duration left = call.scope->deadline() - now;
    const double needed = options_.policy.drop_expired ? service_time_us_ * kMinimumTimeShare : 0;
    if (options_.policy.drop_expired && static_cast<double>(left.count()) <= needed) {
      counters_.refused_deadline += 1;
      refuseQueued(*next, ErrorKind::kDeadlineExceeded, actions);
      continue;
    }
    start(call, now, actions);
  }
}

void InboundCalls::start(Call& call, TimePoint now, DaemonActions& actions) {
  in_flight_.insert(call.request.id);
  rate_.take(now);
  cut_.onDispatched();
  if (!needsClaim(call)) {
    dispatch(call, now, actions);
    return;
  }
  call.state = State::kClaiming;
  call.claim_due = now + std::min(options_.claim_timeout, call.scope->deadline() - now);
  claimAction(CommandType::kClaim, call, nullptr);
}

void InboundCalls::dispatch(Call& call, TimePoint now, DaemonActions& actions) {
  call.state = State::kDispatched;
  call.dispatched = now;
  call.handle = call.request.id.toString() + "-" + std::to_string(random_.next());
  handles_.emplace(call.handle, call.request.id);
  counters_.dispatched += 1;
  DispatchToBackend dispatch;
  dispatch.id = call.request.id;
  dispatch.payload = call.request.payload;
  dispatch.request_id = call.request.context.request_id;
  dispatch.handle = call.handle;
  dispatch.time_left = call.scope->deadline() - now;
  dispatch.repeatable = call.request.context.repeatable;
  actions.emplace_back(std::move(dispatch));
}

bool InboundCalls::needsClaim(const Call& call) const {
  return options_.policy.claim_before_dispatch && !call.request.context.idempotency_key.empty();
}

ClaimCommand InboundCalls::claimCommandOf(const Call& call) const {
  ClaimCommand command;
  command.key = call.request.context.idempotency_key;
  command.fingerprint = fingerprintOf(call.request.payload);
  command.holder = call.request.id;
  return command;
}

void InboundCalls::claimAction(CommandType type, const Call& call, const CallAnswer* answer) {
  ClaimAction action;
  action.type = type;
  action.command = claimCommandOf(call);
  if (answer != nullptr) {
    action.command.outcome = answer->outcome;
    action.command.status = answer->status;
    const bool keep = answer->body.size() <= kMaximumStoredAnswerBytes;
    action.command.outcome = keep ? answer->outcome : Outcome::kUnknown;
    action.command.body = keep ? answer->body : std::string();
  }
  claim_actions_.push_back(std::move(action));
}

void InboundCalls::onClaimReply(const CallId& id, const ClaimReply& reply, TimePoint now,
                                DaemonActions& actions) {
  const auto position = calls_.find(id);
  if (position == calls_.end() || position->second.state != State::kClaiming) {
    return;  // Given up meanwhile; the release is already under way.
  }
  Call& call = position->second;
  if (reply.granted) {
    dispatch(call, now, actions);
    return;
  }
  counters_.claims_denied += 1;
  in_flight_.erase(id);
  rate_.return_token(now);
  CallAnswer answer = errorCallAnswer(id, reply.error);
  if (reply.error == ErrorKind::kNone) {
    answer.outcome = Outcome::kRan;
    answer.status = reply.status;
    answer.body = reply.body;
    answer.body_checksum = bodyChecksum(answer.body);
  }
  finish(position, std::move(answer), actions);
  pump(now, actions);
}

void InboundCalls::onBackendAnswer(const CallId& id, const BackendAnswer& backend_answer,
                                   TimePoint now, DaemonActions& actions) {
  const auto position = calls_.find(id);
  if (position == calls_.end() || position->second.state != State::kDispatched) {
    return;
  }
  if (backend_answer.draining) {
    draining_ = true;
  }
  Call& call = position->second;
  noteLimit(backend_answer, call.dispatched, now);
  const Duration own = now - call.dispatched - call.scope->blocked(now);
  limiter_->onSample({now, own, backend_answer.refused});
  CallAnswer answer;
  answer.id = id;
  if (backend_answer.refused) {
    cut_.onOverloadRefusal();
    counters_.refused_overload += 1;
    answer = errorCallAnswer(id, ErrorKind::kOverloaded);
    answer.retry_after = retryAfter();
  } else {
    const auto total = static_cast<double>((now - call.dispatched).count());
    service_time_us_ +=
        service_time_us_ <= 0 ? total : kServiceTimeSmoothing * (total - service_time_us_);
    answer.outcome = Outcome::kRan;
    answer.status = backend_answer.status;
    answer.content_type = backend_answer.content_type;
    answer.body = backend_answer.body;
    answer.body_checksum = bodyChecksum(answer.body);
  }
  complete(call, answer);
  in_flight_.erase(id);
  counters_.answered += 1;
  finish(position, std::move(answer), actions);
  pump(now, actions);
}

void InboundCalls::onBackendFailure(const CallId& id, bool never_sent, TimePoint now,
                                    DaemonActions& actions) {
  const auto position = calls_.find(id);
  if (position == calls_.end() || position->second.state != State::kDispatched) {
    return;
  }
  if (never_sent) {
    rate_.return_token(now);
  }
  const ErrorKind kind = never_sent ? ErrorKind::kBackendUnreachable : ErrorKind::kBackendLost;
  CallAnswer answer = errorCallAnswer(id, kind);
  complete(position->second, answer);
  in_flight_.erase(id);
  finish(position, std::move(answer), actions);
  pump(now, actions);
}

// Tells the control group how a claimed call went.
void InboundCalls::complete(Call& call, CallAnswer& answer) {
  if (!needsClaim(call)) {
    return;
  }
  const bool never_ran = answer.outcome == Outcome::kNotRun;
  claimAction(never_ran ? CommandType::kReleaseClaim : CommandType::kCompleteClaim, call, &answer);
}

void InboundCalls::finish(CallMap::iterator position, CallAnswer answer, DaemonActions& actions) {
  Call& call = position->second;
  const std::set<std::uint64_t>& calls = call.scope->calls();
  orphans_.insert(orphans_.end(), calls.begin(), calls.end());
  answer.chain_cut = call.scope->chainCut();
  answer.retries_returned = call.scope->close();
  handles_.erase(call.handle);
  stamp(answer);
  if (!call.abandoned) {
    actions.emplace_back(AnswerPeer{std::move(answer)});
  }
  calls_.erase(position);
}

void InboundCalls::stamp(CallAnswer& answer) const {
  answer.receiver_incarnation = options_.incarnation;
  answer.chain_cut = std::min(answer.chain_cut, cut_.cut());
  answer.draining = draining_;
  const auto held = static_cast<double>(in_flight_.size() + queue_.size());
  answer.load_permille = static_cast<std::uint32_t>(held * kThousandths / usableSlots());
}

void InboundCalls::refuse(const CallRequest& request, ErrorKind kind, DaemonActions& actions) {
  CallAnswer answer = errorCallAnswer(request.id, kind);
  answer.retries_returned = request.context.retry_allowance;
  answer.retry_after = errorAnswer(kind).retry_after ? retryAfter() : Duration(0);
  stamp(answer);
  actions.emplace_back(AnswerPeer{std::move(answer)});
}

void InboundCalls::refuseQueued(const CallId& id, ErrorKind kind, DaemonActions& actions) {
  if (kind == ErrorKind::kOverloaded) {
    counters_.refused_overload += 1;
    cut_.onOverloadRefusal();
  }
  CallAnswer answer = errorCallAnswer(id, kind);
  answer.retry_after = retryAfter();
  finish(calls_.find(id), std::move(answer), actions);
}

// Time in which the queue drains, stretched by the share that is being refused, with jitter so
// that those who are told do not come back together.
Duration InboundCalls::retryAfter() {
  const double drain = serviceTimeUs() * static_cast<double>(queue_.size()) / usableSlots();
  const double admitted_share = std::max(0.05, 1.0 - cut_.refusedShare());
  const double wanted = (static_cast<double>(kMinimumRetryAfter.count()) + drain) / admitted_share;
  const double jittered = wanted * (0.5 + random_.uniform());
  const auto bounded = Duration(static_cast<std::int64_t>(jittered));
  return std::clamp<Duration>(bounded, kMinimumRetryAfter, kMaximumRetryAfter);
}

void InboundCalls::cancel(const CallId& id, TimePoint now, DaemonActions& actions) {
  const auto position = calls_.find(id);
  if (position == calls_.end() || !options_.policy.cancel_tree) {
    return;
  }
  Call& call = position->second;
  counters_.cancelled += 1;
  call.abandoned = true;
  const bool claimed = needsClaim(call);
  if (call.state == State::kDispatched && claimed) {
    return;  // It runs to its end, so that its answer can be kept for a repeat.
  }
  if (call.state == State::kQueued) {
    queue_.remove(id);
  } else {
    in_flight_.erase(id);
  }
  if (call.state == State::kClaiming) {
    claimAction(CommandType::kReleaseClaim, call, nullptr);
    rate_.return_token(now);
  }
  if (call.state == State::kDispatched) {
    actions.emplace_back(CancelBackend{id});
  }
  finish(position, errorCallAnswer(id, ErrorKind::kCancelled), actions);
  pump(now, actions);
}

void InboundCalls::tick(TimePoint now, DaemonActions& actions) {
  cut_.update(now);
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  if (options_.policy.bounded_queue) {
    for (const CallId& id : queue_.removeArrivedBefore(now - options_.policy.maximum_queue_wait)) {
      refuseQueued(id, ErrorKind::kOverloaded, actions);
    }
  }
  expire(now, actions);
  if (now >= next_forget_) {
    next_forget_ = now + kForgetInterval;
    seen_.forgetIdleSenders(now);
  }
}

// Gives up claims that got no reply and calls whose deadline has passed.
void InboundCalls::expire(TimePoint now, DaemonActions& actions) {
  std::vector<CallId> claims_due;
  std::vector<CallId> calls_due;
  for (const CallId& id : in_flight_) {
    const Call& call = calls_.at(id);
    const bool claimed = needsClaim(call);
    const Duration grace = claimed ? kClaimedCallGrace : Duration(0);
    if (call.state == State::kClaiming && now >= call.claim_due) {
      claims_due.push_back(id);
    } else if (call.state == State::kDispatched && options_.policy.drop_expired &&
               now >= call.scope->deadline() + grace) {
      calls_due.push_back(id);
    }
  }
  for (const CallId& id : claims_due) {
    const auto position = calls_.find(id);
    counters_.claims_timed_out += 1;
    rate_.return_token(now);
    claimAction(CommandType::kReleaseClaim, position->second, nullptr);
    in_flight_.erase(id);
    CallAnswer answer = errorCallAnswer(id, ErrorKind::kNoQuorum);
    answer.retry_after = retryAfter();
    finish(position, std::move(answer), actions);
  }
  for (const CallId& id : calls_due) {
    actions.emplace_back(CancelBackend{id});
    onBackendFailure(id, false, now, actions);
  }
  pump(now, actions);
}

std::shared_ptr<CallScope> InboundCalls::scopeOfHandle(const std::string& handle) {
  const auto found = handles_.find(handle);
  if (found == handles_.end()) {
    return nullptr;
  }
  return calls_.at(found->second).scope;
}

}  // namespace ramppond
