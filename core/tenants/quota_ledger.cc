#include "core/tenants/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

constexpr auto rate_slot = milliseconds(100);
// The arrival rate is the maximum of the rate over the last second and the rate over this many last
// slots. The latter is used only if at least min_short_rate_arrivals requests arrived in them: a
// sudden increase of a large tenant takes effect sooner, and chance does not affect a small one.
constexpr std::int64_t short_rate_slots = 3;
constexpr double min_short_rate_arrivals = 20;
// The level of a bucket is spent, or a negative level repaid, over this time. If it were shorter, a
// sudden start would run a whole burst before its reports arrive; if longer, a tenant would wait
// for tokens that it has.
constexpr auto level_spending_time = seconds(2);
// A new leader waits this long before it answers. Proxies report every 250 ms, so it has not heard
// from all of them earlier. If it waited longer, proxies would fall back to equal shares.
constexpr auto first_reports_time = milliseconds(400);
// A proxy that has not reported for this time may be disconnected and may admit its equal share of
// the bound.
constexpr auto silent_after = milliseconds(800);
// A silent proxy is considered removed after this time. If it were shorter, a proxy that is
// disconnected for long would exceed the bound together with the others; if longer, the others
// would refuse requests for the sake of a proxy that no longer exists.
constexpr auto removed_after = seconds(15);
// Share of the bound that is used while some proxies are silent. The rest covers requests that are
// reported late.
constexpr double usable_bound_share = 0.85;
// The arrival rate is reduced by up to this many standard deviations of the count of one second, in
// proportion to the level of the bucket, so that random variation does not refuse requests of a
// tenant near its limit while it has tokens. A higher value admits real excess.
constexpr double tolerated_deviations = 1.5;
// Share of the burst that the bucket holds. The rest covers requests that run before they are
// reported when a tenant starts suddenly.
constexpr double usable_burst_share = 0.85;
constexpr double thousandths = 1000;
// Limits memory. Reports of further proxies are ignored.
constexpr std::size_t max_proxies = 20000;

auto in_seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void quota_ledger::arrival_rate::drop_expired_slots(std::int64_t current) {
  const auto passed = std::min<std::int64_t>(current - this->latest, slot_count);
  for (std::int64_t i = 1; i <= passed; ++i) {
    this->slots.at(static_cast<std::size_t>(this->latest + i) % slot_count) = 0;
  }
  this->latest = std::max(this->latest, current);
}

void quota_ledger::arrival_rate::add(double requests, TimePoint now) {
  const auto current = now / Duration(rate_slot);
  this->drop_expired_slots(current);
  this->slots.at(static_cast<std::size_t>(current) % slot_count) += requests;
}

auto quota_ledger::arrival_rate::per_second(TimePoint now) -> double {
  this->drop_expired_slots(now / Duration(rate_slot));
  auto all = 0.0;
  auto recent = 0.0;
  for (std::int64_t i = 0; i < static_cast<std::int64_t>(slot_count); ++i) {
    const auto number = this->latest - i;
    if (number < 0) {
      break;
    }
    const auto requests = this->slots.at(static_cast<std::size_t>(number) % slot_count);
    all += requests;
    recent += i < short_rate_slots ? requests : 0;
  }
  const auto short_rate = recent / (in_seconds(rate_slot) * static_cast<double>(short_rate_slots));
  return recent >= min_short_rate_arrivals ? std::max(all, short_rate) : all;
}

void quota_ledger::set_limits(const std::vector<TenantDefinition>& limits, TimePoint now) {
  auto next = std::map<std::string, tenant_account>();
  for (const auto& tenant : limits) {
    if (tenant.rate_millis == 0) {
      continue;
    }
    auto account = tenant_account();
    account.filled = now;
    if (const auto known = this->tenants.find(tenant.name); known != this->tenants.end()) {
      account = known->second;
      fill(account, now);
    }
    account.rate = static_cast<double>(tenant.rate_millis) / thousandths;
    account.burst = usable_burst_share * static_cast<double>(tenant.burst);
    account.level = std::min(account.level, account.burst);
    next.emplace(tenant.name, account);
  }
  this->tenants = std::move(next);
}

void quota_ledger::restart(TimePoint now) {
  this->started = now;
  this->proxies.clear();
  for (auto& [name, account] : this->tenants) {
    account.level = 0;
    account.filled = now;
    account.arrivals = arrival_rate();
  }
}

void quota_ledger::fill(tenant_account& account, TimePoint now) {
  account.level += account.rate * in_seconds(now - account.filled);
  account.level = std::min(account.level, account.burst);
  account.filled = now;
}

void quota_ledger::on_report(const quota_report& report, TimePoint now) {
  if (this->proxies.size() >= max_proxies && this->proxies.count(report.proxy_address) == 0) {
    return;
  }
  auto& proxy = this->proxies[report.proxy_address];
  if (proxy.incarnation != report.incarnation) {
    proxy = {report.incarnation, 0, now, {}};
  }
  if (report.sequence <= proxy.sequence) {
    return;
  }
  proxy.sequence = report.sequence;
  proxy.last_report = now;
  for (const auto& use : report.uses) {
    this->count_use(proxy, use, now);
  }
}

void quota_ledger::count_use(proxy_account& proxy, const tenant_use& use, TimePoint now) {
  const auto [known, first] = proxy.uses.try_emplace(use.tenant, use);
  const auto arrived_before = first ? use.arrived_confirmed : known->second.arrived;
  const auto run_before = first ? use.run_confirmed : known->second.run;
  const auto arrived = static_cast<double>(use.arrived) - static_cast<double>(arrived_before);
  const auto run = static_cast<double>(use.run) - static_cast<double>(run_before);
  known->second = use;
  const auto account = this->tenants.find(use.tenant);
  if (account == this->tenants.end()) {
    return;
  }
  fill(account->second, now);
  account->second.level -= run;
  account->second.arrivals.add(std::max(arrived, 0.0), now);
}

auto quota_ledger::count_proxies(TimePoint now) -> proxy_counts {
  auto counted = proxy_counts();
  for (auto it = this->proxies.begin(); it != this->proxies.end();) {
    const auto silence = now - it->second.last_report;
    if (silence > removed_after) {
      it = this->proxies.erase(it);
      continue;
    }
    (silence > silent_after ? counted.silent : counted.reporting) += 1;
    ++it;
  }
  return counted;
}

// Disconnected proxies keep admitting their equal share of the bound. The reporting ones reduce
// their rate accordingly, as far as the bound leaves no room beyond the limit.
auto quota_ledger::usable_rate(const tenant_account& account, const proxy_counts& proxies) const
    -> double {
  const auto bound = this->bounds.max_runs(account.rate, account.burst);
  const auto all = std::max<double>(1, proxies.reporting + proxies.silent);
  const auto reporting_share = proxies.reporting / all;
  const auto room =
      (bound * usable_bound_share * reporting_share - account.burst) / this->bounds.window_length();
  return std::clamp(room, 0.0, account.rate);
}

auto quota_ledger::fraction(tenant_account& account, const proxy_counts& proxies, TimePoint now)
    -> double {
  fill(account, now);
  const auto arriving = account.arrivals.per_second(now);
  const auto fullness = account.burst > 0 ? account.level / account.burst : 0;
  const auto deviations = tolerated_deviations * std::clamp(fullness, 0.0, 1.0);
  const auto wanted = std::max(0.0, arriving - deviations * std::sqrt(arriving));
  const auto allowed = std::max(
      0.0, this->usable_rate(account, proxies) + account.level / in_seconds(level_spending_time));
  return wanted <= allowed ? 1 : allowed / wanted;
}

auto quota_ledger::answer(TimePoint now) -> std::optional<quota_answer> {
  if (now - this->started < Duration(first_reports_time)) {
    return std::nullopt;
  }
  const auto counted = this->count_proxies(now);
  auto latest = quota_answer();
  latest.proxies = counted.reporting + counted.silent;
  for (auto& [name, account] : this->tenants) {
    const auto permille = static_cast<std::uint32_t>(
        std::lround(this->fraction(account, counted, now) * thousandths));
    if (permille < thousandths) {
      latest.limited.push_back({name, permille});
    }
  }
  return latest;
}

}  // namespace ramppond
