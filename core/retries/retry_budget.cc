#include "core/retries/retry_budget.h"

#include <algorithm>
#include <limits>

namespace ramppond {
namespace {

// A window is counted in slots, so its boundaries are exact to a tenth of its length.
constexpr auto slots_per_window = std::int64_t(10);
// The oldest window that is needed precedes the window that began one window length ago.
constexpr auto remembered_slots = 2 * slots_per_window + 1;
// Share of the shared allowance that is handed out to proxies. For a proxy that sends few requests
// the maximum over the three windows exceeds the mean by chance, and the sum of these excesses over
// all proxies takes up the rest. With a higher share the fleet exceeds its limit; with a lower one
// services with few requests get hardly any retries.
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

auto retry_budget::requested_below_reserve(std::int64_t begin, budget_reserve reserve) const
    -> double {
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    if (s.number < begin) {
      continue;
    }
    for (const auto& [share, count] : s.requested) {
      sum += share < reserve.share ? count : 0;
    }
  }
  return sum;
}

auto retry_budget::expected_below_reserve(std::int64_t current, budget_reserve reserve) const
    -> double {
  if (reserve.forecast <= Duration(0)) {
    return this->requested_below_reserve(current - slots_per_window, reserve);
  }
  const auto in_current = this->requested_below_reserve(current, reserve);
  const auto in_previous = this->requested_below_reserve(current - 1, reserve) - in_current;
  const auto slot_length = this->window / slots_per_window;
  return std::max(in_current, in_previous) * static_cast<double>(reserve.forecast.count()) /
         static_cast<double>(slot_length.count());
}

auto retry_budget::allowed_in_window(std::int64_t begin, std::int64_t current) const -> double {
  const auto within = this->first_sends(begin, current + 1);
  const auto before = this->first_sends(begin - slots_per_window, begin);
  const auto half_before =
      this->first_sends(begin - slots_per_window / 2, begin + slots_per_window / 2);
  const auto counted = std::max({within, before, half_before});
  return this->share.value * counted + this->allowance.count;
}

// The minimum over all windows that contain the current slot, as far as they are known.
auto retry_budget::usable(std::int64_t current, budget_reserve reserve) const -> double {
  const auto requested = this->expected_below_reserve(current, reserve);
  auto remaining = std::numeric_limits<double>::max();
  for (auto begin = current - slots_per_window; begin <= current; ++begin) {
    const auto allowed = this->allowed_in_window(begin, current);
    const auto kept = std::min(allowed * reserve.share, requested);
    remaining = std::min(remaining, allowed - kept - this->retries_since(begin));
  }
  return remaining;
}

void retry_budget::on_first_send(TimePoint now) {
  this->current_slot(now).first_sends += 1;
}

auto retry_budget::take(TimePoint now, budget_reserve reserve, budget_draw draw) -> bool {
  auto& current = this->current_slot(now);
  current.requested[reserve.share] += 1;
  const auto left = this->usable(current.number, reserve);
  if (left >= 1) {
    current.retries += 1;
    return true;
  }
  if (left <= 0 || draw.value >= 1) {
    return false;
  }
  // The fraction is spent whether or not the draw grants the retry, so that the mean is correct.
  current.retries += left;
  return draw.value < left;
}

void retry_budget::charge(TimePoint now) {
  this->current_slot(now).retries += 1;
}

}  // namespace ramppond
