#include "core/retry_budget.h"

#include <algorithm>

namespace ramppond {
namespace {

constexpr auto slot_span = seconds(1);
// Half of the usual window of ten seconds over which repeats are counted: with
// what is earned within it, such a window sees one and a half times the share.
constexpr auto lasting_slots = std::int64_t(5);

auto slot_number(TimePoint now) -> std::int64_t {
  return now / Duration(slot_span);
}

}  // namespace

void retry_budget::forget(std::int64_t current) {
  while (!this->slots.empty() && this->slots.front().number <= current - lasting_slots) {
    this->slots.pop_front();
  }
}

void retry_budget::on_first_send(TimePoint now) {
  const auto current = slot_number(now);
  if (this->slots.empty() || this->slots.back().number != current) {
    this->forget(current);
    this->slots.push_back({current, 0});
  }
  this->slots.back().earned += this->share.value;
}

auto retry_budget::take(TimePoint now) -> bool {
  this->forget(slot_number(now));
  auto saved = 0.0;
  for (const auto& s : this->slots) {
    saved += s.earned;
  }
  if (saved < 1) {
    return false;
  }
  auto owed = 1.0;
  for (auto& s : this->slots) {
    const auto paid = std::min(owed, s.earned);
    s.earned -= paid;
    owed -= paid;
  }
  return true;
}

}  // namespace ramppond
