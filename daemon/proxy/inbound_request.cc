#include "daemon/proxy/inbound_request.h"

#include "core/admission/fence_rule.h"
#include "core/admission/patience.h"
#include "core/admission/request_time.h"
#include "core/overloaded.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Bodies up to this size are received whole before the request is submitted for admission; longer
// ones are streamed. With a larger limit, the bodies of queued requests fill the memory; with a
// smaller one, slow senders occupy server slots.
constexpr std::size_t kMaxBufferedBodyBytes = 65536;
// Time left for a request that states no deadline.
constexpr Duration kDefaultTimeLeft = seconds(60);

}  // namespace

void InboundRequest::serve(ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange) {
  const auto request = std::make_shared<InboundRequest>(context, exchange);
  exchange->setHandler(request);
  request->start();
}

InboundRequest::InboundRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange)
    : context_(context), exchange_(std::move(exchange)), confirm_timer_(context.loop) {}

void InboundRequest::start() {
  context_.counters.inbound += 1;
  received_ = EventLoop::now();
  decodeHead();
  if (refuseIfFenced()) {
    return;
  }
  body_ended_ = !exchange_->hasBody();
  if (hasRequiredBody()) {
    begin();
  }
}

void InboundRequest::decodeHead() {
  HttpHead& head = exchange_->mutableRequest();
  incarnation_ = head.get(kPeerInstance);
  service_ = head.get(kPeerService);
  route_ = head.get(kPeerRoute);
  digest_ = parse_digest(head.get(kPeerDigest));
  if (digest_ && head.find(kPeerSuspect) != nullptr) {
    context_.guard.on_reported_crash(*digest_);
  }
  const auto left = parseMilliseconds(head.find(context_.api.headers().deadline_ms));
  deadline_ = received_ + left.value_or(kDefaultTimeLeft);
  const std::string priority = head.get(kPeerPriority);
  admission_.id = context_.waiting.next_id();
  admission_.priority = static_cast<std::uint32_t>(std::strtoul(priority.c_str(), nullptr, 10));
  admission_.patience = parseMilliseconds(head.find(kPeerPatienceMs)).value_or(Duration(0));
  admission_.is_call = head.find(kPeerCall) != nullptr;
  admission_.root = parseRoot(head.find(kPeerRoot));
  admission_.calling_service = head.get(context_.api.headers().caller_service);
  admission_.reference_wait = reference_wait(admission_.patience, admission_.is_call);
  head.removeHopByHop();
  retryable_ = head.find(kPeerRetryable) != nullptr;
  is_retry_ = head.find(kPeerRetry) != nullptr;
  withheld_body_ = parseWithheldBody(head.get(kPeerConfirm));
  if (const auto told = parseRate(head.find(kPeerToldRate))) {
    context_.own.on_limit_from_peer(incarnation_, told->limit);
  }
  removePeerHeaders(head);
}

// Whether enough of the body has arrived to request admission.
bool InboundRequest::hasRequiredBody() const {
  return body_ended_ || (withheld_body_ && body_.size() >= withheld_body_->bytes);
}

bool InboundRequest::refuseIfFenced() {
  const FenceVerdict verdict = context_.own.fence(incarnation_, service_);
  const auto refusal = refusal_at_fence(verdict, context_.refuse_peers);
  if (refusal) {
    refuse(*refusal);
  }
  return refusal.has_value();
}

void InboundRequest::begin() {
  const suspicion_state judged =
      digest_ ? context_.guard.judge(*digest_) : suspicion_state(unsuspected{});
  const bool may_run_quarantined =
      std::holds_alternative<quarantined>(judged) && context_.guard.may_run_quarantined(*digest_);
  isolated_ = false;
  std::visit(
      overloaded{[&](const dispatch_shared&) { requestAdmission(); },
                 [&](const dispatch_isolated& b) { isolate(b.level); },
                 [&](const dispatch_elsewhere&) { refuse(inbound_refusal::quarantined_elsewhere); },
                 [&](const dispatch_blocked& b) { refuseBlocked(b.blocked_until); }},
      dispatch_mode_of(judged, may_run_quarantined));
}

void InboundRequest::isolate(suspicion level) {
  const TimePoint now = EventLoop::now();
  suspicion_ = level;
  if (!isolated_until_) {
    const auto patience =
        withheld_body_ ? std::optional<Duration>(admission_.patience) : std::nullopt;
    isolated_until_ = now + isolation_timeout(level, deadline_ - now, patience);
  }
  state_ = State::kAwaitingIsolation;
  if (context_.guard.enter(shared_from_this(), admission_.id, *isolated_until_)) {
    onIsolated();
  }
}

void InboundRequest::onIsolated() {
  if (state_ == State::kAwaitingIsolation) {
    isolated_ = true;
    requestAdmission();
  }
}

void InboundRequest::onIsolationTimeout() {
  if (state_ != State::kAwaitingIsolation) {
    return;
  }
  const auto refusal = refusal_after_isolation_timeout(suspicion_);
  if (refusal) {
    refuse(*refusal);
  } else {
    requestAdmission();
  }
}

void InboundRequest::reconsider() {
  if (state_ == State::kAwaitingIsolation) {
    begin();
  }
}

void InboundRequest::refuseBlocked(TimePoint until) {
  blocked_until_ = until;
  refuse(inbound_refusal::blocked);
}

void InboundRequest::requestAdmission() {
  const TimePoint now = EventLoop::now();
  if (!context_.own.breaker_admits(retryable_, now)) {
    refuse(inbound_refusal::breaker_open);
    return;
  }
  breaker_admitted_ = now;
  state_ = State::kAwaitingAdmission;
  admission_.service_time = context_.own.service_time(route_);
  admission_.slowdown = context_.own.slowdown().factor(now);
  const AdmissionVerdict verdict = context_.own.admission().offer(admission_, now);
  judged_excess_ = context_.own.admission().excessOf(admission_, now);
  switch (verdict) {
    case AdmissionVerdict::kDispatch:
      onAdmitted();
      break;
    case AdmissionVerdict::kWait:
      context_.waiting.add(admission_.id, weak_from_this());
      break;
    case AdmissionVerdict::kRefuse:
      refuse(inbound_refusal::queue_full);
      break;
    case AdmissionVerdict::kRefuseForRate:
      refuseForRate();
      break;
  }
  context_.server_load.on_offered();
}

void InboundRequest::onAdmitted() {
  breaker_admitted_.reset();
  in_flight_ = true;
  begun_ = EventLoop::now();
  begun_work_ = context_.own.slowdown().work_clock(begun_);
  context_.own.on_dispatched(route_, begun_);
  if (state_ == State::kDone || refuseIfFenced()) {
    finishServerWork(ServerOutcome::kWithdrawn);
    return;
  }
  if (!has_time_to_dispatch(deadline_ - begun_)) {
    refuse(inbound_refusal::deadline_near);
    finishServerWork(ServerOutcome::kWithdrawn);
    return;
  }
  if (withheld_body_ && !body_ended_) {
    if (!reserveBodyMemory()) {
      refuse(inbound_refusal::queue_full);
      finishServerWork(ServerOutcome::kWithdrawn);
      return;
    }
    requestConfirmation();
  } else {
    dispatch();
  }
}

bool InboundRequest::reserveBodyMemory() {
  if (withheld_body_->bytes > kMaxBufferedBodyBytes) {
    body_memory_ = context_.uploads.try_hold({withheld_body_->bytes});
    return body_memory_.has_value();
  }
  return true;
}

void InboundRequest::releaseBodyMemory() {
  if (body_memory_) {
    context_.uploads.remove(*body_memory_);
    body_memory_.reset();
  }
}

void InboundRequest::requestConfirmation() {
  state_ = State::kAwaitingConfirmation;
  exchange_->sendInterim(kProcessing);
  exchange_->resumeRequestBody();  // The last chunk follows the rest of the body.
  const std::weak_ptr<InboundRequest> weak = weak_from_this();
  confirm_timer_.after(confirmation_time, [weak] {
    const auto self = weak.lock();
    if (self != nullptr) {
      self->onConfirmationTimeout();
    }
  });
}

// The sender stopped responding or sent the request elsewhere: the slot is freed for another
// request.
void InboundRequest::onConfirmationTimeout() {
  if (state_ == State::kAwaitingConfirmation) {
    refuse(inbound_refusal::not_confirmed);
    finishServerWork(ServerOutcome::kWithdrawn);
  }
}

void InboundRequest::onConfirmed() {
  confirm_timer_.cancel();
  if (refuseIfFenced()) {
    finishServerWork(ServerOutcome::kWithdrawn);
    return;
  }
  dispatch();
}

void InboundRequest::dispatch() {
  const Duration left = deadline_ - EventLoop::now();
  state_ = State::kRunning;
  context_.calls.on_begun(admission_.id, route_, deadline_, is_retry_, admission_.root);
  HttpHead& head = exchange_->mutableRequest();
  head.set(context_.api.headers().deadline_ms, formatMilliseconds(left));
  head.set(context_.api.headers().expect_instance, context_.own.reports().heartbeat().instance_id);
  if (withheld_body_) {
    const bool has_length = withheld_body_->framing == BodyFraming::kLength;
    head.chunked = withheld_body_->framing == BodyFraming::kChunked;
    head.content_length =
        has_length ? std::optional<std::uint64_t>(withheld_body_->bytes) : std::nullopt;
  }
  upstream_ = context_.own.connections().start(head, framingOf(head), body_, body_ended_,
                                               shared_from_this());
  body_.clear();
  body_.shrink_to_fit();
  releaseBodyMemory();
  exchange_->resumeRequestBody();
}

void InboundRequest::onEvicted() {
  if (state_ == State::kAwaitingAdmission) {
    refuse(inbound_refusal::queue_full);
  }
}

void InboundRequest::onQueueTimeout() {
  if (state_ == State::kAwaitingAdmission) {
    if (context_.own.admission().isRateLimited()) {
      refuseForRate();
    } else {
      refuse(inbound_refusal::queue_timeout);
    }
  }
}

void InboundRequest::done() {
  state_ = State::kDone;
  if (breaker_admitted_) {
    context_.own.on_not_dispatched(*breaker_admitted_);
    breaker_admitted_.reset();
  }
  releaseBodyMemory();
  context_.guard.leave(admission_.id);
}

void InboundRequest::finishServerWork(ServerOutcome outcome) {
  if (!in_flight_) {
    return;
  }
  in_flight_ = false;
  context_.calls.on_ended(admission_.id, outcome == ServerOutcome::kAnswered);
  const bool sent = upstream_ != nullptr && upstream_->sent();
  const bool reused = upstream_ != nullptr && upstream_->reusedConnection();
  const Duration since_failed_call = EventLoop::now() - context_.last_failed_forward;
  context_.own.on_ended(
      {route_, begun_, outcome, sent, reused, since_failed_call, begun_work_, admission_.id});
  context_.waiting.dispatch_ready();
}

void InboundRequest::onRequestBody(std::string_view data) {
  if (state_ == State::kRunning && upstream_ != nullptr) {
    upstream_->sendBody(data);
    if (upstream_->congested()) {
      exchange_->pauseRequestBody();
    }
    return;
  }
  if (state_ == State::kDone) {
    return;
  }
  body_.append(data);
  if (state_ != State::kReceiving) {
    return;
  }
  if (withheld_body_ && hasRequiredBody()) {
    begin();
  } else if (body_.size() >= kMaxBufferedBodyBytes) {
    exchange_->pauseRequestBody();
    begin();
  }
}

void InboundRequest::onRequestEnd() {
  body_ended_ = true;
  if (state_ == State::kReceiving && exchange_->hasBody()) {
    begin();
  } else if (state_ == State::kAwaitingConfirmation) {
    onConfirmed();
  } else if (state_ == State::kRunning && upstream_ != nullptr) {
    upstream_->finishBody();
  }
}

void InboundRequest::onRequestDrained() {
  exchange_->resumeRequestBody();
}

void InboundRequest::onClientGone() {
  if (state_ == State::kAwaitingAdmission) {
    context_.waiting.withdraw(admission_.id);
  }
  const State before = state_;
  done();
  if (before == State::kAwaitingConfirmation) {
    finishServerWork(ServerOutcome::kWithdrawn);
  }
  if (before == State::kRunning && upstream_ != nullptr) {
    const ServerOutcome outcome = outcome_of_abandoned(deadline_ - EventLoop::now());
    upstream_->cancel();
    reportAbandonedRun();
    finishServerWork(outcome);
  }
}

}  // namespace ramppond
