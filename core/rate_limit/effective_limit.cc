#include "core/rate_limit/effective_limit.h"

#include "core/overloaded.h"

namespace ramppond {
namespace {

// A limit stands for this time after the last answer that named it, in case a server leaves it out
// of some answers. Shorter, such a server is flooded in between; longer, a server that is well
// again gets its requests later.
constexpr auto limit_outlasts_naming = seconds(1);

}  // namespace

auto effective_limit::on_answer(const named_limit& answered, TimePoint dispatched, TimePoint now)
    -> bool {
  this->has_answer = true;
  return std::visit(
      overloaded{[&](const no_limit&) { return this->lift(dispatched, now); },
                 [&](const request_rate& rate) { return this->take(rate, dispatched, now); },
                 [](const unreadable_limit&) { return false; }},
      answered);
}

auto effective_limit::on_peer_report(request_rate told, TimePoint now) -> bool {
  return !this->has_answer && this->take(told, now, now);
}

auto effective_limit::take(request_rate rate, TimePoint dispatched, TimePoint now) -> bool {
  const auto made_later = dispatched >= this->named;
  if (this->limit && rate.per_second > this->limit->per_second && !made_later) {
    return false;
  }
  const auto changed = !this->limit || rate.per_second != this->limit->per_second;
  this->limit = rate;
  this->named = now;
  return changed;
}

auto effective_limit::lift(TimePoint dispatched, TimePoint now) -> bool {
  const auto made_later = dispatched >= this->named;
  if (!this->limit || !made_later || now - this->named < limit_outlasts_naming) {
    return false;
  }
  this->limit.reset();
  return true;
}

auto effective_limit::age(TimePoint now) const -> Duration {
  return this->limit ? now - this->named : Duration(0);
}

}  // namespace ramppond
