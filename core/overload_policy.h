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
};

/// The policy of that name: ramppond, none, static-limit, per-hop-adaptive and older versions.
std::optional<OverloadPolicy> findOverloadPolicy(const std::string& name);
std::vector<std::string> overloadPolicyNames();

}  // namespace ramppond
