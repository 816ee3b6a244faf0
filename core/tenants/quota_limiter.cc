#include "core/tenants/quota_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// The proxy follows the leader's last answer for this time, from the report that
// it answers. Reports are sent every 250 ms. Shorter, one lost answer is enough
// to fall back to equal parts, which refuse requests below the limit; longer, a
// fraction that is out of date lets too much through.
constexpr auto answer_valid = milliseconds(500);
constexpr std::int64_t slots_per_window = 10;
// Of the bound: what all proxies without recent answers give out together. The
// rest is for requests that ran earlier in the same window. Higher, the bound is
// exceeded; lower, requests below the limit are refused.
constexpr double equal_parts_share = 0.8;
// A tenant that sends this many times its equal part of the rate within a report
// interval is reported at once. Lower, ordinary traffic causes extra reports;
// higher, a surge runs on for another interval.
constexpr double surge_factor = 2;
constexpr double report_interval_s = 0.25;
// Fewer unreported requests are no surge, whatever the part.
constexpr double min_surge_requests = 4;
constexpr double thousandths = 1000;
// Bounds of the time after which a refused client is asked to retry; the upper
// one is the window of the bound.
constexpr auto min_retry_after = milliseconds(500);
constexpr double min_fraction = 0.02;

// Time that the requests beyond the limit within a second take at the tenant's
// rate.
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

void quota_limiter::recent_runs::forget(TimePoint now, Duration window) {
  const auto current = slot_number(now, window);
  while (!this->slots.empty() && this->slots.front().number < current - slots_per_window) {
    this->slots.pop_front();
  }
}

void quota_limiter::recent_runs::add(double requests, TimePoint now, Duration window) {
  this->forget(now, window);
  const auto current = slot_number(now, window);
  if (this->slots.empty() || this->slots.back().number != current) {
    this->slots.push_back({current, 0});
  }
  this->slots.back().requests += requests;
}

auto quota_limiter::recent_runs::count(TimePoint now, Duration window) -> double {
  this->forget(now, window);
  auto sum = 0.0;
  for (const auto& s : this->slots) {
    sum += s.requests;
  }
  return sum;
}

auto quota_limiter::recent_runs::oldest_ends(TimePoint now, Duration window) const -> Duration {
  if (this->slots.empty()) {
    return window;
  }
  const auto slot = window / slots_per_window;
  return slot * (this->slots.front().number + slots_per_window + 1) - now;
}

void quota_limiter::set_limits(const std::vector<TenantDefinition>& limits) {
  // Totals never decrease while the process runs: a tenant that is removed and
  // added again goes on with its own.
  for (auto& [name, account] : this->tenants) {
    account.rate = 0;
  }
  for (const auto& tenant : limits) {
    const auto [position, first] = this->tenants.try_emplace(tenant.name);
    auto& account = position->second;
    account.carried = first ? this->random.uniform() : account.carried;
    account.rate = static_cast<double>(tenant.rate_millis) / thousandths;
    account.burst = static_cast<double>(tenant.burst);
  }
}

auto quota_limiter::has_recent_answer(TimePoint now) const -> bool {
  return this->answer_asked && now - *this->answer_asked < Duration(answer_valid);
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

// In whole requests. Where the part is below one, a draw by tenant and proxy
// gives some proxies one and the others none, so that their sum is right.
auto quota_limiter::equal_part(const std::string& tenant, const tenant_account& account) const
    -> double {
  const auto bound = this->bounds.most_runs(account.rate, account.burst);
  const auto part = bound * equal_parts_share / this->proxy_count();
  const auto whole = std::floor(part);
  constexpr std::uint64_t steps = 4096;
  const auto drawn = XXH3_64bits_withSeed(tenant.data(), tenant.size(), this->drawing_seed) % steps;
  return whole + (static_cast<double>(drawn) < (part - whole) * steps ? 1 : 0);
}

// Carries the rest of the fraction from one request to the next, so that the
// admitted requests are spread evenly.
auto quota_limiter::spend_fraction(tenant_account& account) -> bool {
  if (account.fraction >= 1) {
    return true;
  }
  account.carried += account.fraction;
  if (account.carried < 1) {
    return false;
  }
  account.carried -= 1;
  return true;
}

auto quota_limiter::ask(const std::string& tenant, TimePoint now) -> quota_verdict {
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
  if (alone && account.recent.count(now, window) >= this->equal_part(tenant, account)) {
    const auto retry_after = account.recent.oldest_ends(now, window);
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

void quota_limiter::on_answer(std::uint64_t sequence, const quota_answer& latest, TimePoint asked) {
  if (this->last_report && this->last_report->sequence == sequence) {
    this->confirm(this->last_report->uses);
  }
  // Answers to earlier reports are out of date once a later report was answered.
  if (this->answer_asked && asked < *this->answer_asked) {
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
  this->answer_asked = asked;
}

}  // namespace ramppond
