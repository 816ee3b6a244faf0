// Named sets of decisions under overload: what ramppond does, and the baselines it is held against.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace ramppond {

enum class LimiterKind : std::uint8_t {
  kUnlimited,  ///< Every call is dispatched at once.
  kFixed,      ///< The configured slots.
  kAdaptive,   ///< The configured slots, less whatever the back end refuses.
  kGradient,   ///< Follows the back end's latency against its minimum.
};

enum class QueueOrder : std::uint8_t {
  kFifo,
  kLevel,  ///< Best admission level first.
};

enum class RetryScope : std::uint8_t {
  kPerHop,  ///< Every hop retries up to `retries_per_hop` times, whatever others do.
  kChain,   ///< One allowance for the front request, lent down the call tree.
};

/// All switches of the call path. A daemon and the simulator read the same struct.
struct OverloadPolicy {
  std::string name;
  LimiterKind limiter = LimiterKind::kAdaptive;
  QueueOrder queue_order = QueueOrder::kLevel;
  Duration maximum_queue_wait = milliseconds(80);
  bool bounded_queue = true;
  RetryScope retry_scope = RetryScope::kChain;
  std::uint32_t retries_per_hop = 3;
  bool retry_token_bucket = true;  ///< Successes pay for retries, per destination service.
  bool shed_at_front = true;       ///< Front doors shed against the chain's admission cut.
  bool drop_expired = true;        ///< Calls that cannot meet their deadline are refused.
  bool cancel_tree = true;         ///< A caller that goes away cancels its call tree.
  /// Positions by which a call of a started front request is preferred within its band.
  std::uint32_t started_work_preference = 64;
  // Safety rules. Always on in a product policy; a variant without one shows that the scenario
  // which guards it can fail.
  bool claim_before_dispatch = true;  ///< Commit-once calls claim their key first.
  bool refuse_copies = true;          ///< A call id is taken once.
  bool refuse_when_draining = true;   ///< A leaving server takes nothing new.
  bool refuse_older_configuration = true;
  bool check_answer_id = true;  ///< An answer must echo the attempt it answers.
};

/// The policy of that name: a product policy, or "without-..." for a variant that leaves out one
/// rule and serves to prove scenarios only.
std::optional<OverloadPolicy> findOverloadPolicy(const std::string& name);
/// Policies that a daemon may be given.
std::vector<std::string> overloadPolicyNames();

}  // namespace ramppond
