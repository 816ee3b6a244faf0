#include "daemon/proxy/inbound_request.h"

#include "core/admission/fence_rule.h"
#include "core/admission/patience.h"
#include "core/admission/request_time.h"
#include "core/overloaded.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Bodies up to this size are complete before the request is begun; longer ones are streamed. With
// more, the bodies of waiting requests fill the memory; with less, slow senders hold slots.
constexpr std::size_t kWholeBodyBytes = 65536;
// Of a request that does not tell its deadline.
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
  if (bodyArrived()) {
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
  admission_.reference_wait = reference_wait(admission_.patience, admission_.is_call);
  head.removeHopByHop();
  retryable_ = head.find(kPeerRetryable) != nullptr;
  retry_ = head.find(kPeerRetry) != nullptr;
  held_back_ = parseBodyForm(head.get(kPeerConfirm));
  if (const auto told = parseRate(head.find(kPeerToldRate))) {
    context_.own.on_told_limit(incarnation_, told->limit);
  }
  removePeerHeaders(head);
}

// Whether everything has come that is needed to ask for room.
bool InboundRequest::bodyArrived() const {
  return body_ended_ || (held_back_ && body_.size() >= held_back_->bytes);
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
  const suspicion_state held =
      digest_ ? context_.guard.judge(*digest_) : suspicion_state(unsuspected{});
  const bool has_trial =
      std::holds_alternative<quarantined>(held) && context_.guard.has_trial(*digest_);
  alone_ = false;
  std::visit(
      overloaded{[&](const dispatch_shared&) { askAdmission(); },
                 [&](const dispatch_isolated& b) { isolate(b.level); },
                 [&](const dispatch_elsewhere&) { refuse(inbound_refusal::trial_elsewhere); },
                 [&](const dispatch_blocked& b) { refuseBlocked(b.blocked_until); }},
      dispatch_mode_of(held, has_trial));
}

void InboundRequest::isolate(suspicion level) {
  const TimePoint now = EventLoop::now();
  suspicion_ = level;
  if (!isolated_until_) {
    const auto patience = held_back_ ? std::optional<Duration>(admission_.patience) : std::nullopt;
    isolated_until_ = now + isolation_timeout(level, deadline_ - now, patience);
  }
  state_ = State::kAwaitingIsolation;
  if (context_.guard.enter(shared_from_this(), admission_.id, *isolated_until_)) {
    onAlone();
  }
}

void InboundRequest::onAlone() {
  if (state_ == State::kAwaitingIsolation) {
    alone_ = true;
    askAdmission();
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
    askAdmission();
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

void InboundRequest::askAdmission() {
  if (!context_.own.breaker_admits(retryable_)) {
    refuse(inbound_refusal::breaker_open);
    return;
  }
  state_ = State::kAwaitingRoom;
  admission_.service_time = context_.own.service_time(route_);
  const AdmissionVerdict verdict = context_.own.admission().offer(admission_, EventLoop::now());
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
}

void InboundRequest::onAdmitted() {
  under_way_ = true;
  begun_ = EventLoop::now();
  context_.own.on_begun(route_, begun_);
  if (state_ == State::kDone || refuseIfFenced()) {
    finishServerWork(ServerOutcome::kWithdrawn);
    return;
  }
  if (!has_time_to_dispatch(deadline_ - begun_)) {
    refuse(inbound_refusal::deadline_near);
    finishServerWork(ServerOutcome::kWithdrawn);
    return;
  }
  if (held_back_ && !body_ended_) {
    askConfirmation();
  } else {
    dispatch();
  }
}

void InboundRequest::askConfirmation() {
  state_ = State::kAwaitingEnd;
  exchange_->sendInterim(kProcessing);
  exchange_->resumeRequestBody();  // The end comes behind the rest of the body.
  const std::weak_ptr<InboundRequest> weak = weak_from_this();
  confirm_timer_.after(confirmation_time, [weak] {
    const auto self = weak.lock();
    if (self != nullptr) {
      self->onNotConfirmed();
    }
  });
}

// Its sender has fallen silent, or has sent it elsewhere: the slot goes to another request.
void InboundRequest::onNotConfirmed() {
  if (state_ == State::kAwaitingEnd) {
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
  context_.calls.on_begun(admission_.id, route_, deadline_, retry_);
  HttpHead& head = exchange_->mutableRequest();
  head.set(context_.api.headers().deadline_ms, formatMilliseconds(left));
  head.set(context_.api.headers().expect_instance, context_.own.reports().heartbeat().instance_id);
  if (held_back_) {
    const bool has_length = held_back_->framing == BodyFraming::kLength;
    head.chunked = held_back_->framing == BodyFraming::kChunked;
    head.content_length =
        has_length ? std::optional<std::uint64_t>(held_back_->bytes) : std::nullopt;
  }
  upstream_ = context_.own.connections().start(head, framingOf(head), body_, body_ended_,
                                               shared_from_this());
  body_.clear();
  body_.shrink_to_fit();
  exchange_->resumeRequestBody();
}

void InboundRequest::onPatienceEnded() {
  if (state_ == State::kAwaitingRoom) {
    if (context_.own.admission().isRateLimited()) {
      refuseForRate();
    } else {
      refuse(inbound_refusal::queue_timeout);
    }
  }
}

void InboundRequest::done() {
  state_ = State::kDone;
  context_.guard.leave(admission_.id);
}

void InboundRequest::finishServerWork(ServerOutcome outcome) {
  if (!under_way_) {
    return;
  }
  under_way_ = false;
  context_.calls.on_ended(admission_.id, outcome == ServerOutcome::kAnswered);
  const bool sent = upstream_ != nullptr && upstream_->sent();
  const bool reused = upstream_ != nullptr && upstream_->reusedConnection();
  const Duration since_failed_call = EventLoop::now() - context_.last_failed_forward;
  context_.own.on_ended({route_, begun_, outcome, sent, reused, since_failed_call});
  context_.waiting.pump();
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
  if (held_back_ && bodyArrived()) {
    begin();
  } else if (body_.size() >= kWholeBodyBytes) {
    exchange_->pauseRequestBody();
    begin();
  }
}

void InboundRequest::onRequestEnd() {
  body_ended_ = true;
  if (state_ == State::kReceiving && exchange_->hasBody()) {
    begin();
  } else if (state_ == State::kAwaitingEnd) {
    onConfirmed();
  } else if (state_ == State::kRunning && upstream_ != nullptr) {
    upstream_->finishBody();
  }
}

void InboundRequest::onRequestDrained() {
  exchange_->resumeRequestBody();
}

void InboundRequest::onClientGone() {
  if (state_ == State::kAwaitingRoom) {
    context_.waiting.withdraw(admission_.id);
  }
  const State before = state_;
  done();
  if (before == State::kAwaitingEnd) {
    finishServerWork(ServerOutcome::kWithdrawn);
  }
  if (before == State::kRunning && upstream_ != nullptr) {
    const ServerOutcome outcome = outcome_of_abandoned(deadline_ - EventLoop::now());
    upstream_->cancel();
    tellGuardOfLeaving();
    finishServerWork(outcome);
  }
}

}  // namespace ramppond
