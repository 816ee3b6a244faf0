#include "daemon/proxy/forwarded_request.h"

#include <algorithm>

#include "core/tenants/identity.h"
#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

// Bodies up to this size are held for a second attempt; longer ones are streamed once.
constexpr std::size_t kHeldBodyBytes = 65536;

}  // namespace

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
      wait_timer_(context.loop),
      confirm_timer_(context.loop) {}

void ForwardedRequest::start() {
  context_.counters.requests += 1;
  received_ = EventLoop::now();
  if (!admitHead() || !admitTenant() || !admitByQuota()) {
    return;
  }
  const auto wanted =
      parseMilliseconds(exchange_->request().find(context_.api.headers().deadline_ms));
  deadline_ = received_ + std::min(wanted.value_or(route_->timeout), route_->timeout);
  service_ = chooseService(*route_, context_.random.uniform());
  if (shed(wanted.value_or(route_->timeout))) {
    return;
  }
  HttpHead& head = exchange_->mutableRequest();
  head.removeHopByHop();
  removePeerHeaders(head);
  head.set(context_.api.headers().caller_service, context_.settings.service);
  context_.budget(service_).on_first_send(received_);
  if (attributed_.of_repeat) {
    context_.budget(service_).charge(received_);
  }
  deadline_timer_.after(std::max(timeLeft(), Duration(0)), [this] { onDeadline(); });
  if (!exchange_->hasBody()) {
    body_ended_ = true;
    attempt();
  }
}

// Refusing a call would waste what its tree has cost: only requests of clients are refused here.
bool ForwardedRequest::shed(Duration wanted) {
  attributed_ = context_.calls.on_request(route_->name, received_ + wanted);
  is_call_ = attributed_.origin != request_origin::client && tenant_ == nullptr;
  if (is_call_) {
    return false;
  }
  for (const service_overload& below : context_.overload.of(route_->name, received_)) {
    const std::uint32_t less_urgent = context_.ranksBelow(rank_);
    if (context_.random.uniform() < shed_share(below.level, less_urgent)) {
      answerOwn(answer_overload_below(below.service));
      return true;
    }
  }
  return false;
}

// Finds the route, or answers at once.
bool ForwardedRequest::admitHead() {
  traffic_ = context_.traffic;
  if (traffic_ == nullptr) {
    answerOwn({own_answer_kind::no_configuration});
    return false;
  }
  const HttpHead& head = exchange_->request();
  route_ = traffic_->routes.match(head.get("Host"), head.target);
  if (route_ == nullptr) {
    answerOwn({own_answer_kind::no_route});
    return false;
  }
  if (head.content_length.value_or(0) > traffic_->configuration.limits.max_body_bytes) {
    exchange_->closeAfterwards();
    answerOwn({own_answer_kind::body_too_large});
    return false;
  }
  return true;
}

bool ForwardedRequest::admitTenant() {
  rank_ = traffic_->ranks.of(nullptr, route_->priority);
  if (traffic_->configuration.tenants.empty()) {
    return true;
  }
  const ExternalHeaders& names = context_.api.headers();
  HttpHead& head = exchange_->mutableRequest();
  const Credential credential = context_.api.parseCredential(head.all(names.credential));
  head.remove(names.credential);
  head.remove(names.tenant);
  const authority held = context_.lease.at(EventLoop::now());
  const identity found = identify(*route_, traffic_->keys, credential, held);
  if (std::holds_alternative<key_refused>(found)) {
    answerOwn({own_answer_kind::unknown_key});
    return false;
  }
  if (std::holds_alternative<key_unjudged>(found)) {
    answerOwn({own_answer_kind::keys_unjudged});
    return false;
  }
  tenant_ = std::get<identified>(found).tenant;
  if (tenant_ != nullptr) {
    head.set(names.tenant, tenant_->name);
    rank_ = traffic_->ranks.of(tenant_, route_->priority);
  }
  return true;
}

bool ForwardedRequest::admitByQuota() {
  if (tenant_ == nullptr) {
    return true;
  }
  const auto verdict = context_.quotas.ask(tenant_->name, EventLoop::now());
  counted_by_quota_ = verdict.admitted;
  if (context_.quotas.surging() && context_.on_tenant_surge) {
    context_.on_tenant_surge();
  }
  if (!verdict.admitted) {
    context_.counters.limited_alone += verdict.alone ? 1 : 0;
    answerOwn(answer_beyond_tenant_limit(verdict.retry_after));
  }
  return verdict.admitted;
}

void ForwardedRequest::onRequestBody(std::string_view data) {
  if (over_) {
    return;
  }
  body_bytes_ += data.size();
  if (body_bytes_ > traffic_->configuration.limits.max_body_bytes) {
    exchange_->closeAfterwards();
    answerOwn({own_answer_kind::body_too_large});
    return;
  }
  if (upstream_ != nullptr) {
    upstream_->sendBody(data);
    if (upstream_->congested()) {
      exchange_->pauseRequestBody();
    }
    return;
  }
  body_.append(data);
  if (body_.size() >= kHeldBodyBytes && !body_streamed_) {
    body_streamed_ = true;
    attempt();
  }
}

void ForwardedRequest::onRequestEnd() {
  if (over_ || body_ended_) {
    return;
  }
  body_ended_ = true;
  if (upstream_ != nullptr) {
    upstream_->finishBody();
  } else if (!body_streamed_) {
    attempt();
  }
}

void ForwardedRequest::onRequestDrained() {
  exchange_->resumeRequestBody();
}

void ForwardedRequest::onClientGone() {
  if (over_) {
    return;
  }
  context_.counters.clients_gone += 1;
  over_ = true;
  wait_timer_.cancel();
  deadline_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  endAttempt();
}

void ForwardedRequest::onDeadline() {
  const auto self = shared_from_this();
  if (over_) {
    return;
  }
  const bool under_way = upstream_ != nullptr && upstream_->sent() && !heldBack();
  wait_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  endAttempt();
  if (exchange_->headSent()) {
    context_.counters.broken_off += 1;
    over_ = true;
    exchange_->breakOff();
    return;
  }
  answerOwn(answer_at_deadline(under_way || run_possible_));
}

}  // namespace ramppond
