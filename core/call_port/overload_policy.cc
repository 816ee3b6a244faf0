#include "core/call_port/overload_policy.h"

#include <algorithm>

namespace ramppond {
namespace {

OverloadPolicy ramppondPolicy() {
  OverloadPolicy policy;
  policy.name = "ramppond";
  return policy;
}

// What a service mesh without overload control does: everything is queued and retried.
OverloadPolicy nonePolicy() {
  OverloadPolicy policy;
  policy.name = "none";
  policy.limiter = LimiterKind::kFixed;
  policy.queue_order = QueueOrder::kFifo;
  policy.bounded_queue = false;
  policy.retry_scope = RetryScope::kPerHop;
  policy.retry_token_bucket = false;
  policy.shed_at_front = false;
  policy.drop_expired = false;
  policy.cancel_tree = false;
  policy.started_work_preference = 0;
  return policy;
}

// Fixed concurrency with a bounded queue and a retry budget at each hop.
OverloadPolicy staticLimitPolicy() {
  OverloadPolicy policy = nonePolicy();
  policy.name = "static-limit";
  policy.bounded_queue = true;
  policy.retry_token_bucket = true;
  policy.drop_expired = true;
  return policy;
}

// Adaptive limit and priority at each server alone, without knowledge of the chain.
OverloadPolicy perHopAdaptivePolicy() {
  OverloadPolicy policy = staticLimitPolicy();
  policy.name = "per-hop-adaptive";
  policy.limiter = LimiterKind::kGradient;
  policy.queue_order = QueueOrder::kLevel;
  policy.cancel_tree = true;
  return policy;
}

// ramppond with one safety rule left out, by its name.
OverloadPolicy without(const std::string& name, bool OverloadPolicy::*rule) {
  OverloadPolicy policy = ramppondPolicy();
  policy.name = "without-" + name;
  policy.*rule = false;
  return policy;
}

OverloadPolicy withoutChainAllowance() {
  OverloadPolicy policy = ramppondPolicy();
  policy.name = "without-chain-allowance";
  policy.retry_scope = RetryScope::kPerHop;
  policy.retry_token_bucket = false;
  return policy;
}

OverloadPolicy withoutLevels() {
  OverloadPolicy policy = ramppondPolicy();
  policy.name = "without-levels";
  policy.queue_order = QueueOrder::kFifo;
  policy.shed_at_front = false;
  return policy;
}

std::vector<OverloadPolicy> productPolicies() {
  return {ramppondPolicy(), nonePolicy(), staticLimitPolicy(), perHopAdaptivePolicy()};
}

std::vector<OverloadPolicy> allPolicies() {
  std::vector<OverloadPolicy> policies = productPolicies();
  policies.push_back(without("claims", &OverloadPolicy::claim_before_dispatch));
  policies.push_back(without("copy-check", &OverloadPolicy::refuse_copies));
  policies.push_back(without("drain", &OverloadPolicy::refuse_when_draining));
  policies.push_back(without("configuration-order", &OverloadPolicy::refuse_older_configuration));
  policies.push_back(without("answer-check", &OverloadPolicy::check_answer_id));
  policies.push_back(withoutChainAllowance());
  policies.push_back(withoutLevels());
  return policies;
}

}  // namespace

std::optional<OverloadPolicy> findOverloadPolicy(const std::string& name) {
  const std::vector<OverloadPolicy> policies = allPolicies();
  const auto found = std::find_if(policies.begin(), policies.end(),
                                  [&](const auto& policy) { return policy.name == name; });
  if (found == policies.end()) {
    return std::nullopt;
  }
  return *found;
}

std::vector<std::string> overloadPolicyNames() {
  std::vector<std::string> names;
  for (const OverloadPolicy& policy : productPolicies()) {
    names.push_back(policy.name);
  }
  return names;
}

}  // namespace ramppond
