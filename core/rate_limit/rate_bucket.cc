#include "core/rate_limit/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// Capacity of the bucket, as the time in which the rate fills it. With a longer time a server that
// named a rate gets bursts above it; with a shorter one it gets less than its rate when requests
// arrive unevenly.
constexpr auto burst_time = milliseconds(250);
constexpr double min_capacity = 1;
// Requests per second. A server that names a lower rate or 0 still gets this many, since only an
// answer can raise its rate again.
constexpr double min_rate = 0.25;
// Time constant of the smoothed number of offers. With a shorter time single requests look like
// overload of a server with a low rate; with a longer one peers keep sending a server its former
// load after the rate has taken effect.
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
    this->tokens = 0;
  }
  this->rate = std::max(wanted->per_second, min_rate);
  this->tokens = std::min(this->tokens, this->capacity());
}

auto rate_bucket::capacity() const -> double {
  return std::max(min_capacity, this->rate.value_or(0) * in_seconds(burst_time));
}

auto rate_bucket::tokens_at(TimePoint now) const -> double {
  const auto gained = this->rate.value_or(0) * in_seconds(now - this->refilled);
  return std::min(this->capacity(), this->tokens + gained);
}

void rate_bucket::refill(TimePoint now) {
  this->tokens = this->tokens_at(now);
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
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

void rate_bucket::return_token(TimePoint now) {
  this->refill(now);
  this->tokens = std::min(this->capacity(), this->tokens + 1);
}

auto rate_bucket::wait_for(std::size_t wanted, TimePoint now) const -> Duration {
  const auto missing = static_cast<double>(wanted) - this->tokens_at(now);
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
