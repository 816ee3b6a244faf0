#include "core/answers/return_schedule.h"

#include <algorithm>
#include <cmath>

#include "core/answers/retry_after.h"

namespace ramppond {
namespace {

// Part of the served rate that is reserved. With half of it too few clients return after the
// overload has ended; with all of it fewer are served within their goal.
constexpr double reserved_part = 0.9;
// Time constant of the served rate. A proxy serves a few requests a second of a service: with a
// shorter time the rate is noise, with a longer one it follows a change of the capacity too late.
constexpr auto rate_time = seconds(2);
// Before this time since the first report the rate is unknown.
constexpr auto min_rate_time = milliseconds(500);
// In requests per second. Below it even a single reservation is later than clients can use.
constexpr double min_rate = 0.5;
// Weight of one request in the smoothed run time.
constexpr std::int64_t run_time_divisor = 8;
// Weight of one refused client in the smoothed time that clients can use.
constexpr std::int64_t usable_divisor = 32;
// Clients use a Retry-After of at most this part of their remaining time.
constexpr std::int64_t usable_part = 3;
// Later times would be guesses: an overload seldom lasts as long without a change. It also bounds
// how long a client is remembered, and the effect of one slow transfer on the smoothed run time.
constexpr auto max_return_time = seconds(10);
// Clients wait for whole milliseconds by clocks of their own.
constexpr auto early_tolerance = milliseconds(10);
// A returning client opens a new connection first. With a longer time the capacity of clients that
// never return is withheld from later reservations.
constexpr auto late_tolerance = milliseconds(300);
// A client sends its remaining time in whole milliseconds. With a shorter tolerance its next
// request looks like that of another client; with a longer one clients of the same page look like
// one.
constexpr auto deadline_tolerance = milliseconds(5);
// Services times ranks; bounds memory. All are learned anew when there are more.
constexpr auto max_capacities = std::size_t(1024);

auto ratio(Duration part, Duration whole) -> double {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

auto decay(Duration age) -> double {
  return std::exp(-ratio(age, rate_time));
}

// Retry-After has whole milliseconds and is rounded down, which would make each client early.
auto round_up(Duration time) -> Duration {
  return std::chrono::ceil<milliseconds>(time);
}

/// The shortest Retry-After that the client does not use.
auto unusable_time(Duration time_left) -> Duration {
  return round_up(time_left / usable_part) + milliseconds(1);
}

/// Returns the time of a client among those that are served within `backlog_time`. Each returns
/// after the same part of the time it can use, so that the mean is the time in which they are
/// served.
auto return_after(Duration backlog_time, Duration usable, Duration mean_usable) -> Duration {
  const bool scaled = usable >= retry_after_floor;
  const double part = scaled ? ratio(usable, mean_usable) : 1;
  const auto time = static_cast<double>(backlog_time.count()) * part;
  return std::max(round_up(Duration(static_cast<std::int64_t>(time))), retry_after_floor);
}

/// Returns how long a client can wait for its return and still be served.
auto usable_time(Duration time_left, Duration run_time) -> Duration {
  return std::min({time_left / usable_part, time_left - run_time, Duration(max_return_time)});
}

}  // namespace

auto return_schedule::capacity_of(const scarce_service& service, TimePoint now) -> capacity& {
  if (this->capacities.size() >= max_capacities && this->capacities.count(service) == 0) {
    this->capacities.clear();
  }
  auto fresh = capacity();
  fresh.since = now;
  fresh.updated = now;
  return this->capacities.emplace(service, fresh).first->second;
}

void return_schedule::on_served(const scarce_service& service, Duration duration, TimePoint now) {
  auto& known = this->capacity_of(service, now);
  known.served = known.served * decay(now - known.updated) + 1;
  known.updated = now;
  duration = std::min<Duration>(duration, max_return_time);
  const bool first = known.run_time == Duration(0);
  known.run_time =
      first ? duration : known.run_time + (duration - known.run_time) / run_time_divisor;
}

auto return_schedule::interval_of(const capacity& known, TimePoint now) -> std::optional<Duration> {
  if (now - known.since < min_rate_time) {
    return std::nullopt;
  }
  // Sum of the decaying weights of all seconds since the first report.
  const auto weighted_seconds = (1 - decay(now - known.since)) *
                                static_cast<double>(Duration(rate_time).count()) /
                                Duration(seconds(1)).count();
  const auto rate = known.served * decay(now - known.updated) / weighted_seconds;
  if (rate < min_rate) {
    return std::nullopt;
  }
  const auto us_per_return =
      static_cast<double>(Duration(seconds(1)).count()) / rate / reserved_part;
  return Duration(static_cast<std::int64_t>(us_per_return));
}

auto return_schedule::own_entry(const client_identity& client) const
    -> keys_by_digest::const_iterator {
  const auto [begin, end] = this->by_client.equal_range(client.digest);
  const auto found = std::find_if(begin, end, [&](const auto& entry) {
    const auto deadline = this->entries.at(entry.second).client.deadline;
    return std::chrono::abs(deadline - client.deadline) <= deadline_tolerance;
  });
  return found == end ? this->by_client.end() : found;
}

auto return_schedule::due_entry(const client_identity& client, TimePoint now) const
    -> keys_by_digest::const_iterator {
  const auto [begin, end] = this->by_client.equal_range(client.digest);
  const auto found = std::find_if(begin, end, [&](const auto& entry) {
    return entry.second.first - early_tolerance <= now &&
           this->entries.at(entry.second).has_capacity;
  });
  return found == end ? this->by_client.end() : found;
}

auto return_schedule::on_arrival(const client_identity& client, TimePoint now) -> return_arrival {
  this->drop_missed(now);
  auto found = this->own_entry(client);
  if (found != this->by_client.end() && found->second.first - early_tolerance > now) {
    this->totals.early += 1;
    return return_arrival::early;
  }
  if (found == this->by_client.end()) {
    found = this->due_entry(client, now);
  }
  if (found == this->by_client.end()) {
    return return_arrival::new_request;
  }
  const bool has_capacity = this->entries.at(found->second).has_capacity;
  this->release(found);
  this->totals.kept += has_capacity ? 1 : 0;
  return has_capacity ? return_arrival::on_time : return_arrival::new_request;
}

auto return_schedule::verdict_of_entry(const client_identity& client, TimePoint now) const
    -> std::optional<return_verdict> {
  const auto own = this->own_entry(client);
  if (own == this->by_client.end() || own->second.first <= now) {
    return std::nullopt;
  }
  const auto after = round_up(own->second.first - now);
  const bool has_capacity = this->entries.at(own->second).has_capacity;
  return has_capacity ? return_verdict(reserved_return{after}) : late_capacity{after};
}

auto return_schedule::refuse_as_late(const scarce_service& service, const client_identity& client,
                                     Duration after, TimePoint now) -> late_capacity {
  this->totals.refused += 1;
  const auto expected =
      std::min<Duration>(std::max(after, unusable_time(client.deadline - now)), max_return_time);
  // The other half of the entries of a digest is kept for reservations.
  if (this->entries.size() < max_entries_for_refused &&
      this->by_client.count(client.digest) < max_entries_per_request / 2) {
    this->insert(now + expected, {client, service, false});
  }
  return {expected};
}

auto return_schedule::on_refused(const scarce_service& service, const client_identity& client,
                                 TimePoint now) -> return_verdict {
  this->drop_missed(now);
  if (const auto known_verdict = this->verdict_of_entry(client, now)) {
    return *known_verdict;
  }
  auto& known = this->capacity_of(service, now);
  const auto interval = interval_of(known, now);
  const bool has_room = this->entries.size() < max_reservations &&
                        this->by_client.count(client.digest) < max_entries_per_request;
  if (this->stopped || !has_room || !interval || client.deadline <= now) {
    return unplanned_return{};
  }
  const auto backlog_time = *interval * static_cast<std::int64_t>(known.reserved + 1);
  const auto usable = usable_time(client.deadline - now, known.run_time);
  if (usable >= retry_after_floor) {
    known.usable += (usable - known.usable) / (known.usable == Duration(0) ? 1 : usable_divisor);
  }
  const auto after = return_after(backlog_time, usable, known.usable);
  if (after > usable) {
    return this->refuse_as_late(service, client, after, now);
  }
  known.reserved += 1;
  this->totals.made += 1;
  this->insert(now + after, {client, service, true});
  return reserved_return{after};
}

void return_schedule::insert(TimePoint at, return_entry entry) {
  const auto key = entry_key(at, this->next_number);
  this->next_number += 1;
  this->by_client.emplace(entry.client.digest, key);
  this->entries.emplace(key, std::move(entry));
}

void return_schedule::release(keys_by_digest::const_iterator found) {
  const auto held = this->entries.find(found->second);
  const auto known = this->capacities.find(held->second.service);
  if (held->second.has_capacity && known != this->capacities.end() && known->second.reserved > 0) {
    known->second.reserved -= 1;
  }
  this->entries.erase(held);
  this->by_client.erase(found);
}

void return_schedule::drop_missed(TimePoint now) {
  while (!this->entries.empty()) {
    const auto& [oldest, entry] = *this->entries.begin();
    if (oldest.first + late_tolerance >= now) {
      return;
    }
    this->totals.missed += entry.has_capacity ? 1 : 0;
    const auto [begin, end] = this->by_client.equal_range(entry.client.digest);
    this->release(std::find_if(begin, end,
                               [key = oldest](const auto& other) { return other.second == key; }));
  }
}

}  // namespace ramppond
