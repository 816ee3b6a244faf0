// Decides which fraction of each tenant's requests the proxies may admit.
//
// Input: the proxies' reports, with the time of their arrival, and the limits in force. Output: for
// each tenant near its limit a fraction in thousandths. Owns a token bucket and an arrival rate for
// each tenant and the last totals of each proxy, in memory of the coordinators' leader only: a new
// leader begins with empty buckets, which never admits more than the limit. Pure, not thread safe.
//
// A tenant's bucket is filled at its rate up to its burst and pays for what ran. The fraction
// follows from the level of the bucket and from what arrives.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/tenants/quota_bounds.h"
#include "core/tenants/quota_messages.h"
#include "core/time.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

class quota_ledger {
 public:
  explicit quota_ledger(QuotaBounds bounds) : bounds(bounds) {}

  /// The limits in force; tenants without one are not counted.
  void set_limits(const std::vector<TenantDefinition>& tenants, TimePoint now);
  /// Forgets all reports: another coordinator was the leader meanwhile.
  void restart(TimePoint now);
  void on_report(const quota_report& report, TimePoint now);

  /// The fractions at present; nothing until the proxies had time to report since the last
  /// restart().
  [[nodiscard]] auto answer(TimePoint now) -> std::optional<quota_answer>;

 private:
  // Requests over the last second, by the time of their report.
  class arrival_rate {
   public:
    void add(double requests, TimePoint now);
    [[nodiscard]] auto per_second(TimePoint now) -> double;

   private:
    static constexpr std::size_t slot_count = 10;
    void forget(std::int64_t current);
    std::array<double, slot_count> slots{};
    std::int64_t latest = 0;
  };
  struct tenant_account {
    double rate = 0;   // tokens per second, one token a request
    double burst = 0;  // tokens that the bucket holds
    double level = 0;  // tokens; below 0 when more ran than the bucket held
    TimePoint filled{0};
    arrival_rate arrivals;
  };
  struct proxy_account {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint last_report{0};
    std::map<std::string, tenant_use> uses;  // as last reported
  };
  struct fleet {
    std::uint32_t reporting = 0;
    std::uint32_t silent = 0;
  };

  static void fill(tenant_account& account, TimePoint now);
  void count_use(proxy_account& proxy, const tenant_use& use, TimePoint now);
  [[nodiscard]] auto count_proxies(TimePoint now) -> fleet;
  [[nodiscard]] auto usable_rate(const tenant_account& account, const fleet& proxies) const
      -> double;
  [[nodiscard]] auto fraction(tenant_account& account, const fleet& proxies, TimePoint now)
      -> double;

  QuotaBounds bounds;
  TimePoint started{0};
  std::map<std::string, tenant_account> tenants;
  std::map<std::string, proxy_account> proxies;  // by address
};

}  // namespace ramppond
