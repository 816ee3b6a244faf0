#include "core/admission/isolation_rule.h"

#include <algorithm>

#include "core/overloaded.h"

namespace ramppond {
namespace {

// Of the time left. A lightly suspected request goes on beside others after its wait: more than a
// quarter would make many innocent requests late. A heavily suspected one is refused: more than a
// half would leave no time for another server, less would refuse requests that could still run.
constexpr std::int64_t light_divisor = 4;
constexpr std::int64_t heavy_divisor = 2;

}  // namespace

auto dispatch_mode_of(const suspicion_state& held, bool has_trial) -> beginning {
  return std::visit(
      overloaded{[](const unsuspected&) { return beginning(dispatch_shared{}); },
                 [](const suspected& s) {
                   return beginning(
                       dispatch_isolated{s.crashes == 1 ? suspicion::light : suspicion::heavy});
                 },
                 [&](const quarantined&) {
                   return has_trial ? beginning(dispatch_isolated{suspicion::heavy})
                                    : beginning(dispatch_elsewhere{});
                 },
                 [](const blocked& b) { return beginning(dispatch_blocked{b.until}); }},
      held);
}

auto isolation_timeout(suspicion level, Duration left, std::optional<Duration> patience)
    -> Duration {
  const auto share = left / (level == suspicion::light ? light_divisor : heavy_divisor);
  return std::min(share, patience.value_or(share));
}

auto refusal_after_isolation_timeout(suspicion level) -> std::optional<inbound_refusal> {
  if (level == suspicion::light) {
    return std::nullopt;
  }
  return inbound_refusal::isolation_timed_out;
}

}  // namespace ramppond
