#include "core/admission/machine_slowdown.h"

#include <algorithm>
#include <variant>

namespace ramppond {
namespace {

// Slowdowns last 100 ms or longer. With a longer time, estimates use a slowdown that has ended;
// with a shorter one, the value expires between two queries of the health path.
constexpr auto max_age = milliseconds(200);
// Half of max_age, so that one late response does not make the value unknown. At most 10 queries a
// second follow from it.
constexpr auto query_interval = milliseconds(100);

}  // namespace

void machine_slowdown::on_report(const named_server_load& reported, TimePoint now) {
  if (std::holds_alternative<unreadable_load_report>(reported)) {
    return;
  }
  const auto* report = std::get_if<server_load_report>(&reported);
  this->reports = report != nullptr && report->slowdown_percent;
  if (this->reports) {
    this->replace(value{*report->slowdown_percent, now}, now);
  }
}

void machine_slowdown::on_new_incarnation(TimePoint now) {
  this->replace(std::nullopt, now);
  this->reports = false;
}

void machine_slowdown::replace(const std::optional<value>& next, TimePoint now) {
  this->lost = now - this->work_clock(now);
  this->latest = next;
}

auto machine_slowdown::percent(TimePoint now) const -> std::optional<std::uint32_t> {
  if (!this->latest || now - this->latest->arrived > max_age) {
    return std::nullopt;
  }
  return this->latest->percent;
}

auto machine_slowdown::factor(TimePoint now) const -> slowdown_factor {
  const auto current = this->percent(now);
  return current ? clamped_slowdown(*current) : slowdown_factor{};
}

auto machine_slowdown::age(TimePoint now) const -> Duration {
  return this->latest ? now - this->latest->arrived : Duration(0);
}

auto machine_slowdown::work_clock(TimePoint now) const -> TimePoint {
  if (!this->latest) {
    return now - this->lost;
  }
  const auto valid_for = std::clamp(now - this->latest->arrived, Duration(0), Duration(max_age));
  const auto done =
      static_cast<double>(valid_for.count()) / clamped_slowdown(this->latest->percent).value;
  return now - this->lost - valid_for + Duration(static_cast<std::int64_t>(done));
}

auto machine_slowdown::next_query() const -> std::optional<TimePoint> {
  if (!this->reports || this->query_in_flight || !this->latest) {
    return std::nullopt;
  }
  const auto due = this->latest->arrived + query_interval;
  return this->last_query ? std::max(due, *this->last_query + query_interval) : due;
}

void machine_slowdown::on_query_sent(TimePoint now) {
  this->query_in_flight = true;
  this->last_query = now;
}

}  // namespace ramppond
