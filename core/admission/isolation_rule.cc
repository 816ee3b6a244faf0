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

auto beginning_of(const suspicion_state& held, bool has_trial) -> beginning {
  return std::visit(overloaded{[](const unsuspected&) { return beginning(begins_beside_others{}); },
                               [](const suspected& s) {
                                 return beginning(begins_alone{s.crashes == 1 ? suspicion::light
                                                                              : suspicion::heavy});
                               },
                               [&](const quarantined&) {
                                 return has_trial ? beginning(begins_alone{suspicion::heavy})
                                                  : beginning(begins_elsewhere{});
                               },
                               [](const blocked& b) { return beginning(begins_nowhere{b.until}); }},
                    held);
}

auto isolation_time(suspicion level, Duration left, std::optional<Duration> patience) -> Duration {
  const auto share = left / (level == suspicion::light ? light_divisor : heavy_divisor);
  return std::min(share, patience.value_or(share));
}

auto refusal_when_not_alone(suspicion level) -> std::optional<inbound_refusal> {
  if (level == suspicion::light) {
    return std::nullopt;
  }
  return inbound_refusal::not_alone;
}

}  // namespace ramppond
