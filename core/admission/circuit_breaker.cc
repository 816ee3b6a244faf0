#include "core/admission/circuit_breaker.h"

#include <algorithm>

#include "core/overloaded.h"

namespace ramppond {
namespace {

// A server that fails one request in two shows this many in a row every few
// seconds; one that fails one in a hundred never does.
constexpr auto failures_to_open = std::uint32_t(6);
constexpr auto first_pause = milliseconds(150);
constexpr auto longest_pause = milliseconds(1200);
// A request that can't be repeated tries the server only if no other came.
constexpr auto wait_for_repeatable = milliseconds(500);
// The request that tries the server may take long; another is let in after
// this.
constexpr auto trial_time = seconds(1);

}  // namespace

auto circuit_breaker::admit(bool repeatable, TimePoint now) -> bool {
  const auto tried_at = [&](TimePoint from, Duration pause) {
    const auto patience = repeatable ? Duration(0) : Duration(wait_for_repeatable);
    if (now < from + patience) {
      return false;
    }
    this->state = half_open{now, pause};
    return true;
  };
  return std::visit(
      overloaded{[](const closed&) { return true; },
                 [&](const open& s) { return tried_at(s.until, s.pause); },
                 [&](const half_open& s) { return tried_at(s.since + trial_time, s.pause); }},
      this->state);
}

void circuit_breaker::on_success() {
  this->state = closed{0};
}

void circuit_breaker::on_failure(TimePoint now) {
  const auto next = [&](Duration pause) { this->state = open{now + pause, pause}; };
  std::visit(
      overloaded{[&](closed& s) {
                   ++s.failures;
                   if (s.failures >= failures_to_open) {
                     next(first_pause);
                   }
                 },
                 [](const open&) {},  // let in before the breaker opened
                 [&](const half_open& s) { next(std::min<Duration>(s.pause * 2, longest_pause)); }},
      this->state);
}

void circuit_breaker::on_unknown(TimePoint now) {
  if (const auto* s = std::get_if<half_open>(&this->state)) {
    this->state = open{now, s->pause};
  }
}

}  // namespace ramppond
