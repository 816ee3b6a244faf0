#include "core/admission/fence_rule.h"

namespace ramppond {

auto refusal_at_fence(FenceVerdict verdict, bool ends_soon) -> std::optional<inbound_refusal> {
  if (ends_soon || verdict == FenceVerdict::kDraining) {
    return inbound_refusal::draining;
  }
  if (verdict == FenceVerdict::kAdmit) {
    return std::nullopt;
  }
  return inbound_refusal::other_instance;
}

}  // namespace ramppond
