#include "core/retries/retry_budget.h"

#include <algorithm>
#include <limits>

namespace ramppond {
namespace {

// A window is counted in parts: an end of it that lies within a part moves by a tenth of the
// window.
constexpr auto slots_a_window = std::int64_t(10);
// The window before the one that began a window ago.
constexpr auto remembered_slots = 2 * slots_a_window + 1;
// Of what all daemons share, this part is used. A daemon that sends little has the most in one of
// three windows by chance alone, and the sum of such chances over all daemons needs the rest.
constexpr double shared_part_used = 0.25;

}  // namespace

auto part_of(const shared_repeats& shared, std::size_t daemons) -> repeat_allowance {
  return {daemons == 0 ? 0 : shared_part_used * shared.count / static_cast<double>(daemons)};
}

auto retry_budget::current_slot(TimePoint now) -> slot& {
  const auto current = now / (this->window / slots_a_window);
  while (!this->slots.empty() && this->slots.front().number <= current - remembered_slots) {
    this->slots.pop_front();
  }
  if (this->slots.empty() || this->slots.back().number != current) {
    this->slots.push_back({current});
  }
  return this->slots.back();
}

auto retry_budget::first_sends(std::int64_t begin, std::int64_t end) const -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    sum += s.number >= begin && s.number < end ? s.first_sends : 0;
  }
  return sum;
}

auto retry_budget::repeats_since(std::int64_t begin) const -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    sum += s.number >= begin ? s.repeats : 0;
  }
  return sum;
}

// Of the repeats that reserve less.
auto retry_budget::asked_by_better(std::int64_t begin, budget_reserve reserve) const -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    for (const auto& [share, count] : s.asked) {
      sum += s.number >= begin && share < reserve.share ? count : 0;
    }
  }
  return sum;
}

// The least over all windows that hold the current slot, by what is known of each of them.
auto retry_budget::left(std::int64_t current, budget_reserve reserve) const -> double {
  const auto asked = this->asked_by_better(current - slots_a_window, reserve);
  auto least = std::numeric_limits<double>::max();
  for (auto begin = current - slots_a_window; begin <= current; ++begin) {
    const auto within = this->first_sends(begin, current + 1);
    const auto before = this->first_sends(begin - slots_a_window, begin);
    const auto half_before =
        this->first_sends(begin - slots_a_window / 2, begin + slots_a_window / 2);
    const auto counted = std::max({within, before, half_before});
    const auto allowed = this->share.value * counted + this->allowance.count;
    const auto kept = std::min(allowed * reserve.share, asked);
    least = std::min(least, allowed - kept - this->repeats_since(begin));
  }
  return least;
}

void retry_budget::on_first_send(TimePoint now) {
  this->current_slot(now).first_sends += 1;
}

auto retry_budget::take(TimePoint now, budget_reserve reserve, budget_draw draw) -> bool {
  auto& current = this->current_slot(now);
  current.asked[reserve.share] += 1;
  const auto usable = this->left(current.number, reserve);
  if (usable >= 1) {
    current.repeats += 1;
    return true;
  }
  if (usable <= 0 || draw.value >= 1) {
    return false;
  }
  current.repeats += usable;
  return draw.value < usable;
}

void retry_budget::charge(TimePoint now) {
  this->current_slot(now).repeats += 1;
}

}  // namespace ramppond
