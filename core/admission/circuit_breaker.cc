#include "core/admission/circuit_breaker.h"

#include <algorithm>

#include "core/overloaded.h"

namespace ramppond {
namespace {

// Consecutive failures. With fewer, a server that fails one request in a hundred is excluded too;
// with more, a server that fails every second request is excluded late.
constexpr auto failures_to_open = std::uint32_t(6);
// Pause before the first probe. Each failed probe doubles it, up to `max_pause`. A shorter pause
// loses more requests to probes; a longer one leaves a recovered server idle.
constexpr auto first_pause = milliseconds(150);
constexpr auto max_pause = milliseconds(1200);
// For this time after a pause only retryable requests are admitted as probes. After that any
// request is, so that a server without retryable requests is probed too.
constexpr auto probe_reserved_for_retryable = milliseconds(500);
// A probe may take long, so the next one is admitted after this time.
constexpr auto probe_interval = seconds(1);

}  // namespace

auto circuit_breaker::admit(bool retryable, TimePoint now) -> bool {
  const auto probe_from = [&](TimePoint from, Duration pause) {
    const auto reserved = retryable ? Duration(0) : Duration(probe_reserved_for_retryable);
    if (now < from + reserved) {
      return false;
    }
    this->state = half_open{now, pause, from};
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
  std::visit(
      overloaded{[&](closed& s) {
                   ++s.failures;
                   if (s.failures >= failures_to_open) {
                     open_for(first_pause);
                   }
                 },
                 [](const open&) {},  // The request was admitted before the breaker opened.
                 [&](const half_open& s) { open_for(std::min<Duration>(s.pause * 2, max_pause)); }},
      this->state);
}

void circuit_breaker::on_unknown(TimePoint now) {
  if (const auto* s = std::get_if<half_open>(&this->state)) {
    this->state = open{now, s->pause};
  }
}

void circuit_breaker::on_not_sent(TimePoint admitted_at) {
  const auto* s = std::get_if<half_open>(&this->state);
  if (s != nullptr && s->since == admitted_at) {
    this->state = open{s->open_until, s->pause};
  }
}

}  // namespace ramppond
