#include "core/tenants/quota_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// The leader's last answer is used for this time, counted from when the answered report was sent.
// Reports are sent every 250 ms. If it were shorter, a single lost answer would make the proxy fall
// back to equal shares, which refuse requests below the limit; if longer, an outdated fraction
// would admit too many requests.
constexpr auto answer_valid = milliseconds(500);
constexpr std::int64_t slots_per_window = 10;
// Share of the bound that all proxies without recent answers admit together. The rest covers
// requests that ran earlier in the same window. A higher share exceeds the bound; a lower one
// refuses requests below the limit.
constexpr double equal_shares_of_bound = 0.8;
// A tenant that sends this many times its equal share of the rate within a report interval is
// reported immediately. A lower factor sends extra reports for ordinary traffic; a higher one lets
// a surge continue for another interval.
constexpr double surge_factor = 2;
constexpr double report_interval_s = 0.25;
// Minimum number of unreported requests that count as a surge, however small the share is.
constexpr double min_surge_requests = 4;
constexpr double thousandths = 1000;
// Minimum time after which a refused client is asked to retry; the maximum is the window of the
// bound.
constexpr auto min_retry_after = milliseconds(500);
constexpr double min_fraction = 0.02;

// Time that the excess requests of one second would take at the tenant's rate.
auto excess_time(double fraction) -> Duration {
  const auto admitted = std::max(fraction, min_fraction);
  const auto seconds_behind = (1 - admitted) / admitted;
  return Duration(static_cast<std::int64_t>(seconds_behind *
                                            static_cast<double>(Duration(seconds(1)).count())));
}

auto slot_number(TimePoint now, Duration window) -> std::int64_t {
  return now / (window / slots_per_window);
}

}  // namespace

void quota_limiter::recent_runs::drop_expired_slots(TimePoint now, Duration window) {
  const auto current = slot_number(now, window);
  while (!this->slots.empty() && this->slots.front().number < current - slots_per_window) {
    this->slots.pop_front();
  }
}

void quota_limiter::recent_runs::add(double requests, TimePoint now, Duration window) {
  this->drop_expired_slots(now, window);
  const auto current = slot_number(now, window);
  if (this->slots.empty() || this->slots.back().number != current) {
    this->slots.push_back({current, 0});
  }
  this->slots.back().requests += requests;
}

auto quota_limiter::recent_runs::count(TimePoint now, Duration window) -> double {
  this->drop_expired_slots(now, window);
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    sum += s.requests;
  }
  return sum;
}

auto quota_limiter::recent_runs::time_until_oldest_expires(TimePoint now, Duration window) const
    -> Duration {
  if (this->slots.empty()) {
    return window;
  }
  const auto slot = window / slots_per_window;
  return slot * (this->slots.front().number + slots_per_window + 1) - now;
}

void quota_limiter::set_limits(const std::vector<TenantDefinition>& limits) {
  // Totals never decrease while the process runs: a tenant that is removed and added again keeps
  // its totals.
  for (auto& [name, account] : this->tenants) {
    account.rate = 0;
  }
  for (const auto& tenant : limits) {
    const auto [position, first] = this->tenants.try_emplace(tenant.name);
    auto& account = position->second;
    account.carry = first ? this->random.uniform() : account.carry;
    account.rate = static_cast<double>(tenant.rate_millis) / thousandths;
    account.burst = static_cast<double>(tenant.burst);
  }
}

auto quota_limiter::has_recent_answer(TimePoint now) const -> bool {
  return this->answered_report_sent_at &&
         now - *this->answered_report_sent_at < Duration(answer_valid);
}

auto quota_limiter::proxy_count() const -> double {
  return std::max<double>(
      {1, static_cast<double>(this->known_proxies), static_cast<double>(this->reporting_proxies)});
}

auto quota_limiter::is_surge(const tenant_account& account) const -> bool {
  const auto unreported = static_cast<double>(account.arrived - account.arrived_reported);
  const auto part = account.rate * report_interval_s / this->proxy_count();
  return account.fraction >= 1 && unreported >= std::max(min_surge_requests, part * surge_factor);
}

// Whole number of requests. The fractional part is rounded up or down by a hash of tenant and
// proxy, so that the shares of all proxies add up to the right sum, also where they are below one.
auto quota_limiter::equal_share(const std::string& tenant, const tenant_account& account) const
    -> double {
  const auto bound = this->bounds.max_runs(account.rate, account.burst);
  const auto part = bound * equal_shares_of_bound / this->proxy_count();
  const auto whole = std::floor(part);
  constexpr std::uint64_t steps = 4096;
  const auto drawn =
      XXH3_64bits_withSeed(tenant.data(), tenant.size(), this->rounding_seed) % steps;
  return whole + (static_cast<double>(drawn) < (part - whole) * steps ? 1 : 0);
}

// Carries the remainder of the fraction from one request to the next, which spreads the admitted
// requests evenly.
auto quota_limiter::spend_fraction(tenant_account& account) -> bool {
  if (account.fraction >= 1) {
    return true;
  }
  account.carry += account.fraction;
  if (account.carry < 1) {
    return false;
  }
  account.carry -= 1;
  return true;
}

auto quota_limiter::ask(const std::string& tenant, TimePoint now) -> quota_decision {
  const auto found = this->tenants.find(tenant);
  if (found == this->tenants.end() || found->second.rate == 0) {
    return {};
  }
  auto& account = found->second;
  const auto window = this->bounds.window;
  const auto alone = !this->has_recent_answer(now);
  account.arrived += 1;
  this->surge = this->surge || this->is_surge(account);
  if (!spend_fraction(account)) {
    const auto retry_after = excess_time(account.fraction);
    return {false, alone, std::clamp<Duration>(retry_after, min_retry_after, window)};
  }
  if (alone && account.recent.count(now, window) >= this->equal_share(tenant, account)) {
    const auto retry_after = account.recent.time_until_oldest_expires(now, window);
    return {false, alone, std::clamp<Duration>(retry_after, min_retry_after, window)};
  }
  account.run += 1;
  account.recent.add(1, now, window);
  return {true, alone, Duration(0)};
}

void quota_limiter::on_not_run(const std::string& tenant, TimePoint now) {
  const auto found = this->tenants.find(tenant);
  if (found == this->tenants.end() || found->second.rate == 0) {
    return;
  }
  found->second.run -= 1;
  found->second.recent.add(-1, now, this->bounds.window);
}

auto quota_limiter::report() -> std::optional<quota_report> {
  const auto limited = std::any_of(this->tenants.begin(), this->tenants.end(),
                                   [](const auto& entry) { return entry.second.rate > 0; });
  if (!limited) {
    return std::nullopt;
  }
  auto report = quota_report();
  report.sequence = ++this->sequence;
  this->surge = false;
  for (auto& [name, account] : this->tenants) {
    account.arrived_reported = account.arrived;
    const auto confirmed =
        account.arrived == account.arrived_confirmed && account.run == account.run_confirmed;
    if (account.rate > 0 && !confirmed) {
      report.uses.push_back(
          {name, account.arrived, account.run, account.arrived_confirmed, account.run_confirmed});
    }
  }
  this->last_report = sent_report{report.sequence, report.uses};
  return report;
}

void quota_limiter::confirm(const std::vector<tenant_use>& uses) {
  for (const auto& use : uses) {
    const auto found = this->tenants.find(use.tenant);
    if (found != this->tenants.end()) {
      found->second.arrived_confirmed = use.arrived;
      found->second.run_confirmed = use.run;
    }
  }
}

void quota_limiter::on_answer(std::uint64_t sequence, const quota_answer& latest,
                              TimePoint asked_at) {
  if (this->last_report && this->last_report->sequence == sequence) {
    this->confirm(this->last_report->uses);
  }
  // An answer to a later report has already arrived.
  if (this->answered_report_sent_at && asked_at < *this->answered_report_sent_at) {
    return;
  }
  for (auto& [name, account] : this->tenants) {
    account.fraction = 1;
  }
  for (const auto& limited : latest.limited) {
    const auto found = this->tenants.find(limited.tenant);
    if (found != this->tenants.end()) {
      found->second.fraction = static_cast<double>(limited.permille) / thousandths;
    }
  }
  this->reporting_proxies = latest.proxies;
  this->answered_report_sent_at = asked_at;
}

}  // namespace ramppond
