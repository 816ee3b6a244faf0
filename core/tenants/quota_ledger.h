// Computes the fraction of each tenant's requests that the proxies may admit.
//
// Input: the proxies' reports with their times of arrival, and the limits in force. Output: a
// fraction in thousandths for each tenant near its limit. Owns a token bucket and an arrival rate
// for each tenant and the last totals of each proxy. These exist only in memory of the
// coordinators' leader: a new leader starts with empty buckets, so it never admits more than the
// limit. No I/O; not thread safe.
//
// A tenant's bucket is refilled at the tenant's rate up to its burst, and each request that ran
// takes one token. The fraction follows from the level of the bucket and the arrival rate.
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

  /// Sets the limits in force. Tenants without a limit are not counted.
  void set_limits(const std::vector<TenantDefinition>& tenants, TimePoint now);
  /// Discards all reports, since another coordinator may have been the leader in the meantime.
  void restart(TimePoint now);
  void on_report(const quota_report& report, TimePoint now);

  /// Returns the current fractions, or std::nullopt until the proxies had time to report since the
  /// last restart().
  [[nodiscard]] auto answer(TimePoint now) -> std::optional<quota_answer>;

 private:
  // Requests that were reported within the last second.
  class arrival_rate {
   public:
    void add(double requests, TimePoint now);
    [[nodiscard]] auto per_second(TimePoint now) -> double;

   private:
    static constexpr std::size_t slot_count = 10;
    void drop_expired_slots(std::int64_t current);
    std::array<double, slot_count> slots{};
    std::int64_t latest = 0;
  };
  struct tenant_account {
    double rate = 0;   // tokens per second, one token a request
    double burst = 0;  // tokens that the bucket holds
    double level = 0;  // tokens; negative if more requests ran than the bucket held
    TimePoint filled{0};
    arrival_rate arrivals;
  };
  struct proxy_account {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint last_report{0};
    std::map<std::string, tenant_use> uses;  // as last reported
  };
  struct proxy_counts {
    std::uint32_t reporting = 0;
    std::uint32_t silent = 0;
  };

  static void fill(tenant_account& account, TimePoint now);
  void count_use(proxy_account& proxy, const tenant_use& use, TimePoint now);
  [[nodiscard]] auto count_proxies(TimePoint now) -> proxy_counts;
  [[nodiscard]] auto usable_rate(const tenant_account& account, const proxy_counts& proxies) const
      -> double;
  [[nodiscard]] auto fraction(tenant_account& account, const proxy_counts& proxies, TimePoint now)
      -> double;

  QuotaBounds bounds;
  TimePoint started{0};
  std::map<std::string, tenant_account> tenants;
  std::map<std::string, proxy_account> proxies;  // by address
};

}  // namespace ramppond
