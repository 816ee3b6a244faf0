#include "core/admission/circuit_breaker.h"

#include <algorithm>

#include "core/overloaded.h"

namespace ramppond {
namespace {

// In a row. Fewer, a server that fails one request in a hundred is left too; more, one that fails
// every second request is left late.
constexpr auto failures_to_open = std::uint32_t(6);
// Before the first probe; each probe that fails doubles the pause, up to the longest. Shorter, more
// requests are lost to probes; longer, a server that has recovered stays idle.
constexpr auto first_pause = milliseconds(150);
constexpr auto longest_pause = milliseconds(1200);
// After a pause only a request that may be retried is let in as probe, for this time. Then any
// request is, so that a server that gets only others is not left for ever.
constexpr auto probe_reserved_for_retryable = milliseconds(500);
// A probe may take long; the next one is let in after this time.
constexpr auto probe_interval = seconds(1);

}  // namespace

auto circuit_breaker::admit(bool retryable, TimePoint now) -> bool {
  const auto probe_from = [&](TimePoint from, Duration pause) {
    const auto reserved = retryable ? Duration(0) : Duration(probe_reserved_for_retryable);
    if (now < from + reserved) {
      return false;
    }
    this->state = half_open{now, pause};
    return true;
  };
  return std::visit(
      overloaded{[](const closed&) { return true; },
                 [&](const open& s) { return probe_from(s.until, s.pause); },
                 [&](const half_open& s) { return probe_from(s.since + probe_interval, s.pause); }},
      this->state);
}

void circuit_breaker::on_success() {
  this->state = closed{0};
}

void circuit_breaker::on_failure(TimePoint now) {
  const auto open_for = [&](Duration pause) { this->state = open{now + pause, pause}; };
  std::visit(overloaded{[&](closed& s) {
                          ++s.failures;
                          if (s.failures >= failures_to_open) {
                            open_for(first_pause);
                          }
                        },
                        [](const open&) {},  // admitted before the breaker opened
                        [&](const half_open& s) {
                          open_for(std::min<Duration>(s.pause * 2, longest_pause));
                        }},
             this->state);
}

void circuit_breaker::on_unknown(TimePoint now) {
  if (const auto* s = std::get_if<half_open>(&this->state)) {
    this->state = open{now, s->pause};
  }
}

}  // namespace ramppond
