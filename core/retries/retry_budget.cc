#include "core/retries/retry_budget.h"

#include <algorithm>
#include <limits>

namespace ramppond {
namespace {

// A window is counted in slots, so its ends are off by a tenth of it at most.
constexpr auto slots_per_window = std::int64_t(10);
// The oldest window that matters is the one before the window that began a window ago.
constexpr auto remembered_slots = 2 * slots_per_window + 1;
// Share of the shared allowance that is given out. A proxy that sends little has the most in one of
// the three windows by chance alone, and the sum of such chances over all proxies needs the rest:
// higher, the fleet exceeds its bound; lower, services with few requests get hardly any retry.
constexpr double shared_allowance_used = 0.25;

}  // namespace

auto allowance_per_proxy(const shared_retries& shared, std::size_t proxies) -> retry_allowance {
  return {proxies == 0 ? 0 : shared_allowance_used * shared.count / static_cast<double>(proxies)};
}

auto retry_budget::current_slot(TimePoint now) -> slot& {
  const auto current = now / (this->window / slots_per_window);
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

auto retry_budget::retries_since(std::int64_t begin) const -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    sum += s.number >= begin ? s.retries : 0;
  }
  return sum;
}

auto retry_budget::wanted_by_others(std::int64_t begin, budget_reserve reserve) const -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    for (const auto& [share, count] : s.wanted) {
      sum += s.number >= begin && share < reserve.share ? count : 0;
    }
  }
  return sum;
}

auto retry_budget::allowed_in_window(std::int64_t begin, std::int64_t current) const -> double {
  const auto within = this->first_sends(begin, current + 1);
  const auto before = this->first_sends(begin - slots_per_window, begin);
  const auto half_before =
      this->first_sends(begin - slots_per_window / 2, begin + slots_per_window / 2);
  const auto counted = std::max({within, before, half_before});
  return this->share.value * counted + this->allowance.count;
}

// The least over all windows that hold the current slot, by what is known of each of them.
auto retry_budget::usable(std::int64_t current, budget_reserve reserve) const -> double {
  const auto wanted = this->wanted_by_others(current - slots_per_window, reserve);
  auto least = std::numeric_limits<double>::max();
  for (auto begin = current - slots_per_window; begin <= current; ++begin) {
    const auto allowed = this->allowed_in_window(begin, current);
    const auto kept = std::min(allowed * reserve.share, wanted);
    least = std::min(least, allowed - kept - this->retries_since(begin));
  }
  return least;
}

void retry_budget::on_first_send(TimePoint now) {
  this->current_slot(now).first_sends += 1;
}

auto retry_budget::take(TimePoint now, budget_reserve reserve, budget_draw draw) -> bool {
  auto& current = this->current_slot(now);
  current.wanted[reserve.share] += 1;
  const auto left = this->usable(current.number, reserve);
  if (left >= 1) {
    current.retries += 1;
    return true;
  }
  if (left <= 0 || draw.value >= 1) {
    return false;
  }
  // Spent whether the draw is won or lost, so that it is right on average.
  current.retries += left;
  return draw.value < left;
}

void retry_budget::charge(TimePoint now) {
  this->current_slot(now).retries += 1;
}

}  // namespace ramppond
