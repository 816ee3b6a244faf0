#include "daemon/proxy/forwarded_params.h"

#include <algorithm>

#include "core/admission/patience.h"
#include "core/admission/shedding.h"
#include "core/answers/front_shedding.h"
#include "core/answers/return_shedding.h"
#include "core/tenants/identity.h"
#include "daemon/proxy/peer_headers.h"

namespace ramppond {

auto forwarded_params::resolve(ProxyContext& context, HttpHead& head) -> std::optional<own_answer> {
  if (auto refusal = this->resolve_route(context, head)) {
    return refusal;
  }
  if (auto refusal = this->resolve_tenant(context, head)) {
    return refusal;
  }
  if (auto refusal = this->check_quota(context)) {
    return refusal;
  }
  const auto requested_time = parseMilliseconds(head.find(context.api.headers().deadline_ms))
                                  .value_or(this->route->timeout);
  this->client_deadline = this->received + requested_time;
  this->deadline = this->received + std::min(requested_time, this->route->timeout);
  this->service = chooseService(*this->route, context.random.uniform());
  return this->shed(context, head);
}

auto forwarded_params::patience() const -> Duration {
  return patience_of(this->route->goal, this->is_call);
}

auto forwarded_params::resolve_route(const ProxyContext& context, const HttpHead& head)
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

auto forwarded_params::resolve_tenant(ProxyContext& context, HttpHead& head)
    -> std::optional<own_answer> {
  this->rank = this->traffic->ranks.of(nullptr, this->route->priority);
  if (this->traffic->configuration.tenants.empty()) {
    return std::nullopt;
  }
  const auto& names = context.api.headers();
  const auto credential = context.api.parseCredential(head.all(names.credential));
  head.remove(names.credential);
  head.remove(names.tenant);
  const auto lease_state = context.lease.at(EventLoop::now());
  const auto identity = identify(*this->route, this->traffic->keys, credential, lease_state);
  if (std::holds_alternative<key_refused>(identity)) {
    return own_answer{own_answer_kind::unknown_key};
  }
  if (std::holds_alternative<key_unverifiable>(identity)) {
    return own_answer{own_answer_kind::keys_unverifiable};
  }
  this->tenant = std::get<identified>(identity).tenant;
  if (this->tenant != nullptr) {
    head.set(names.tenant, this->tenant->name);
    this->rank = this->traffic->ranks.of(this->tenant, this->route->priority);
  }
  return std::nullopt;
}

auto forwarded_params::check_quota(ProxyContext& context) -> std::optional<own_answer> {
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

// A call whose run is unknown keeps no root: its caller is then the service that sent it.
void forwarded_params::resolve_root() {
  if (this->is_call) {
    this->root = this->attributed.root;
    return;
  }
  const auto tenant_name = this->tenant == nullptr ? std::string() : this->tenant->name;
  this->root =
      request_root{this->rank, this->may_run_twice(), caller_name(tenant_name, this->route->name)};
}

auto forwarded_params::is_beyond_share(ProxyContext& context) -> bool {
  this->caller_shed_share = context.shares.share(this->service, this->root->caller, this->received);
  return refused_beyond_share(this->caller_shed_share, context.random);
}

auto forwarded_params::shed(ProxyContext& context, const HttpHead& head)
    -> std::optional<own_answer> {
  this->attributed = context.calls.on_request(this->route->name, this->client_deadline);
  this->is_call = is_call_of_server(this->attributed.origin, this->tenant != nullptr);
  if (context.features.needs_roots()) {
    this->resolve_root();
  }
  if (this->is_call) {
    return std::nullopt;
  }
  const auto arrival = context.returns.on_arrival(*this, head);
  // A client that was told when to return and does so is not refused again for its caller's share.
  const bool is_beyond = context.features.fair_shares && this->is_beyond_share(context);
  if (is_beyond && arrival != return_arrival::on_time) {
    return answer_downstream_overload(this->service);
  }
  const auto overloads = context.overload.of(this->route->name, this->received);
  if (overloads.empty()) {
    return std::nullopt;
  }
  const auto ranks = less_urgent_ranks(this->rank, this->traffic->configuration.routes,
                                       this->traffic->ranks, context.calls);
  const auto* overload = refusing_overload_of(arrival, overloads, ranks, context.random);
  if (overload == nullptr) {
    return std::nullopt;
  }
  return answer_downstream_overload(overload->service);
}

}  // namespace ramppond
