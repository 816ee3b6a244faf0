#include "core/admission/isolation_rule.h"

#include <algorithm>

#include "core/overloaded.h"

namespace ramppond {
namespace {

// The time until the deadline is divided by these. A lightly suspected request is dispatched after
// its wait even if it is not alone; waiting for more than a quarter of the time would make many
// innocent requests late. A heavily suspected request is refused; waiting for more than half of the
// time would leave too little for another server, and waiting for less would refuse requests that
// could still run.
constexpr std::int64_t light_divisor = 4;
constexpr std::int64_t heavy_divisor = 2;

}  // namespace

auto dispatch_mode_of(const suspicion_state& state, bool quarantined_here) -> dispatch_mode {
  return std::visit(
      overloaded{[](const unsuspected&) { return dispatch_mode(dispatch_shared{}); },
                 [](const suspected& s) {
                   return dispatch_mode(
                       dispatch_isolated{s.crashes == 1 ? suspicion::light : suspicion::heavy});
                 },
                 [&](const quarantined&) {
                   return quarantined_here ? dispatch_mode(dispatch_isolated{suspicion::heavy})
                                           : dispatch_mode(dispatch_elsewhere{});
                 },
                 [](const blocked& b) { return dispatch_mode(dispatch_blocked{b.until}); }},
      state);
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
