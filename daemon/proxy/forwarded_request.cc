#include "daemon/proxy/forwarded_request.h"

#include <algorithm>

#include "daemon/proxy/peer_headers.h"

namespace ramppond {

void ForwardedRequest::serve(ProxyContext& context,
                             const std::shared_ptr<ServerExchange>& exchange) {
  const auto request = std::make_shared<ForwardedRequest>(context, exchange);
  exchange->setHandler(request);
  request->start();
}

ForwardedRequest::ForwardedRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange)
    : context_(context),
      exchange_(std::move(exchange)),
      deadline_timer_(context.loop),
      wait_timer_(context.loop) {}

ForwardedRequest::~ForwardedRequest() {
  context_.attempting.erase(this);
  releaseUpload();
}

void ForwardedRequest::start() {
  context_.counters.requests += 1;
  params_.received = EventLoop::now();
  HttpHead& head = exchange_->mutableRequest();
  if (const auto refusal = params_.resolve(context_, head)) {
    answerOwn(*refusal);
    return;
  }
  if (!mayPassOn()) {
    answerOwn(answer_while_stopping(false));
    return;
  }
  head.removeHopByHop();
  removePeerHeaders(head);
  head.set(context_.api.headers().caller_service, context_.settings.service);
  retry_budget& budget = context_.budgets.of(params_.service);
  budget.on_first_send(params_.received);
  if (params_.attributed.of_retry) {
    budget.charge(params_.received);
  }
  deadline_timer_.after(std::max(timeLeft(), Duration(0)), [this] { onDeadline(); });
  if (!exchange_->hasBody()) {
    body_.end();
    attempt();
  } else if (params_.route->kind == RequestKind::kUpload) {
    upload_ = context_.uploads.add(*this, params_.received);
  }
}

void ForwardedRequest::onRequestBody(std::string_view data) {
  if (state_ == State::kDone) {
    return;
  }
  body_.count_received(data.size());
  if (body_.size() > params_.traffic->configuration.limits.max_body_bytes) {
    onBodyTooLarge();
    return;
  }
  if (attempt_) {
    attempt_->upstream->sendBody(data);
    if (attempt_->upstream->congested()) {
      exchange_->pauseRequestBody();
    }
    return;
  }
  bufferBody(data);
}

void ForwardedRequest::bufferBody(std::string_view data) {
  body_.append(data);
  if (state_ != State::kReceiving) {
    return;
  }
  if (!mayPassOn()) {
    const auto self = shared_from_this();
    answerOwn(answer_while_stopping(false));
    return;
  }
  const auto limit = upload_ ? max_buffered_upload_bytes : max_buffered_body_bytes;
  if (body_.exceeds_buffer_limit(limit)) {
    stopBuffering();
  } else if (upload_) {
    context_.uploads.on_received(*upload_, {data.size()}, EventLoop::now());
  }
}

void ForwardedRequest::stopBuffering() {
  const auto self = shared_from_this();
  releaseUpload();
  if (state_ == State::kReceiving) {
    body_.start_streaming();
    attempt();
  }
}

void ForwardedRequest::releaseUpload() {
  if (upload_) {
    context_.uploads.remove(*upload_);
    upload_.reset();
  }
}

void ForwardedRequest::onRequestEnd() {
  if (state_ == State::kDone || body_.ended()) {
    return;
  }
  body_.end();
  if (upload_) {
    context_.uploads.on_complete(*upload_);
  }
  if (attempt_) {
    attempt_->upstream->finishBody();
  } else if (state_ == State::kReceiving) {
    attempt();
  }
}

void ForwardedRequest::onRequestDrained() {
  exchange_->resumeRequestBody();
}

void ForwardedRequest::onClientGone() {
  if (state_ == State::kDone) {
    return;
  }
  context_.counters.clients_gone += 1;
  if (!mayHaveRun()) {
    refundQuota();
  }
  if (attempt_) {
    attempt_->upstream->cancel();
  }
  done();
}

// An answer of this proxy would become part of the server's answer if that has begun.
void ForwardedRequest::onBodyTooLarge() {
  const auto self = shared_from_this();
  if (state_ != State::kAnswering) {
    answerOwn({own_answer_kind::body_too_large});
    return;
  }
  attempt_->upstream->cancel();
  abortAnswer(form_of(own_answer_kind::body_too_large).reason);
}

void ForwardedRequest::onDeadline() {
  const auto self = shared_from_this();
  if (state_ == State::kDone) {
    return;
  }
  const bool may_have_run = mayHaveRun();
  if (attempt_) {
    attempt_->upstream->cancel();
  }
  if (state_ == State::kAnswering) {
    abortAnswer(form_of(own_answer_kind::deadline_may_have_run).reason);
    return;
  }
  endAttempt();
  answerOwn(answer_at_deadline(may_have_run));
}

bool ForwardedRequest::mayPassOn() const {
  return !context_.stop_window || context_.stop_window->admits(params_.deadline, EventLoop::now());
}

bool ForwardedRequest::mayHaveRun() const {
  return history_.may_have_run || (attempt_ && attempt_->may_have_arrived());
}

void ForwardedRequest::refundQuota() {
  if (params_.counted_by_quota) {
    context_.quotas.on_not_run(params_.tenant->name, EventLoop::now());
  }
}

void ForwardedRequest::abortAnswer(std::string_view reason) {
  const TimePoint now = EventLoop::now();
  context_.counters.broken_off += 1;
  if (context_.cut_log.allow(now.count())) {
    logEvent(now.count(), context_.cut_log.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"digest", digest_},
              {"reason", std::string(reason)},
              {"service", params_.service},
              {"held_us", std::to_string((now - params_.received).count())}});
  }
  done();
  exchange_->breakOff();
}

void ForwardedRequest::done() {
  state_ = State::kDone;
  wait_timer_.cancel();
  deadline_timer_.cancel();
  endAttempt();
  releaseUpload();
}

}  // namespace ramppond
