#include "core/rate_limit/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// Places that may pile up while nothing is offered, as a time at the rate. Longer, a server that
// asked for less gets bursts; shorter, it gets less than it asked for when requests come unevenly.
constexpr auto burst_time = milliseconds(250);
constexpr double least_capacity = 1;
// Requests a second. A server that names less, or 0, still gets so many: only an answer can tell
// that it takes more again.
constexpr double least_rate = 0.25;
// Time constant of the count of offers. Shorter, single requests look like overload of a slow
// server; longer, peers send a server its former load after the rate has come into force.
constexpr auto demand_smoothing_time = seconds(1);

auto in_seconds(Duration time) -> double {
  return static_cast<double>(time.count()) / static_cast<double>(Duration(seconds(1)).count());
}

}  // namespace

void rate_bucket::set(std::optional<request_rate> wanted, TimePoint now) {
  this->refill(now);
  if (!wanted) {
    this->rate.reset();
    return;
  }
  if (!this->rate) {
    this->places = 0;
  }
  this->rate = std::max(wanted->per_second, least_rate);
  this->places = std::min(this->places, this->capacity());
}

auto rate_bucket::capacity() const -> double {
  return std::max(least_capacity, this->rate.value_or(0) * in_seconds(burst_time));
}

auto rate_bucket::places_at(TimePoint now) const -> double {
  const auto gained = this->rate.value_or(0) * in_seconds(now - this->refilled);
  return std::min(this->capacity(), this->places + gained);
}

void rate_bucket::refill(TimePoint now) {
  this->places = this->places_at(now);
  this->refilled = now;
}

auto rate_bucket::offers_at(TimePoint now) const -> double {
  return this->offers *
         std::exp(-in_seconds(now - this->last_offer) / in_seconds(demand_smoothing_time));
}

void rate_bucket::on_offer(TimePoint now) {
  this->offers = this->offers_at(now) + 1;
  this->last_offer = now;
}

auto rate_bucket::take(TimePoint now) -> bool {
  if (!this->rate) {
    return true;
  }
  this->refill(now);
  if (this->places < 1) {
    return false;
  }
  this->places -= 1;
  return true;
}

void rate_bucket::return_token(TimePoint now) {
  this->refill(now);
  this->places = std::min(this->capacity(), this->places + 1);
}

auto rate_bucket::wait_for(std::size_t wanted, TimePoint now) const -> Duration {
  const auto missing = static_cast<double>(wanted) - this->places_at(now);
  if (!this->rate || missing <= 0) {
    return Duration(0);
  }
  const auto microseconds = missing / *this->rate * 1e6;
  return Duration(static_cast<std::int64_t>(std::ceil(microseconds)));
}

auto rate_bucket::demand(TimePoint now) const -> double {
  if (!this->rate) {
    return 0;
  }
  return this->offers_at(now) / in_seconds(demand_smoothing_time) / *this->rate;
}

}  // namespace ramppond
