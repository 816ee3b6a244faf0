#include "daemon/proxy/forwarded_terms.h"

#include <algorithm>

#include "core/admission/patience.h"
#include "core/admission/shedding.h"
#include "core/answers/front_shedding.h"
#include "core/tenants/identity.h"
#include "daemon/proxy/peer_headers.h"

namespace ramppond {

auto forwarded_terms::settle(ProxyContext& context, HttpHead& head) -> std::optional<own_answer> {
  if (auto refusal = this->find_route(context, head)) {
    return refusal;
  }
  if (auto refusal = this->find_tenant(context, head)) {
    return refusal;
  }
  if (auto refusal = this->ask_quota(context)) {
    return refusal;
  }
  const auto wanted = parseMilliseconds(head.find(context.api.headers().deadline_ms))
                          .value_or(this->route->timeout);
  this->deadline = this->received + std::min(wanted, this->route->timeout);
  this->service = chooseService(*this->route, context.random.uniform());
  return this->shed(context, wanted);
}

auto forwarded_terms::patience() const -> Duration {
  return patience_of(this->route->goal, this->is_call);
}

auto forwarded_terms::find_route(const ProxyContext& context, const HttpHead& head)
    -> std::optional<own_answer> {
  this->traffic = context.traffic;
  if (this->traffic == nullptr) {
    return own_answer{own_answer_kind::no_configuration};
  }
  this->route = this->traffic->routes.match(head.get("Host"), head.target);
  if (this->route == nullptr) {
    return own_answer{own_answer_kind::no_route};
  }
  if (head.content_length.value_or(0) > this->traffic->configuration.limits.max_body_bytes) {
    return own_answer{own_answer_kind::body_too_large};
  }
  return std::nullopt;
}

auto forwarded_terms::find_tenant(ProxyContext& context, HttpHead& head)
    -> std::optional<own_answer> {
  this->rank = this->traffic->ranks.of(nullptr, this->route->priority);
  if (this->traffic->configuration.tenants.empty()) {
    return std::nullopt;
  }
  const auto& names = context.api.headers();
  const auto credential = context.api.parseCredential(head.all(names.credential));
  head.remove(names.credential);
  head.remove(names.tenant);
  const auto held = context.lease.at(EventLoop::now());
  const auto found = identify(*this->route, this->traffic->keys, credential, held);
  if (std::holds_alternative<key_refused>(found)) {
    return own_answer{own_answer_kind::unknown_key};
  }
  if (std::holds_alternative<key_unverifiable>(found)) {
    return own_answer{own_answer_kind::keys_unverifiable};
  }
  this->tenant = std::get<identified>(found).tenant;
  if (this->tenant != nullptr) {
    head.set(names.tenant, this->tenant->name);
    this->rank = this->traffic->ranks.of(this->tenant, this->route->priority);
  }
  return std::nullopt;
}

auto forwarded_terms::ask_quota(ProxyContext& context) -> std::optional<own_answer> {
  if (this->tenant == nullptr) {
    return std::nullopt;
  }
  const auto verdict = context.quotas.ask(this->tenant->name, EventLoop::now());
  this->counted_by_quota = verdict.admitted;
  if (context.quotas.has_surge() && context.on_tenant_surge) {
    context.on_tenant_surge();
  }
  if (verdict.admitted) {
    return std::nullopt;
  }
  context.counters.limited_alone += verdict.alone ? 1 : 0;
  return answer_beyond_tenant_limit(verdict.retry_after);
}

auto forwarded_terms::shed(ProxyContext& context, Duration wanted) -> std::optional<own_answer> {
  this->attributed = context.calls.on_request(this->route->name, this->received + wanted);
  this->is_call = is_call_of_server(this->attributed.origin, this->tenant != nullptr);
  if (this->is_call) {
    return std::nullopt;
  }
  const auto below = context.overload.of(this->route->name, this->received);
  if (below.empty()) {
    return std::nullopt;
  }
  const auto ranks = less_urgent_ranks(this->rank, this->traffic->configuration.routes,
                                       this->traffic->ranks, context.calls);
  const auto* refusing = refusing_overload(below, ranks, context.random);
  if (refusing == nullptr) {
    return std::nullopt;
  }
  return answer_downstream_overload(refusing->service);
}

}  // namespace ramppond
