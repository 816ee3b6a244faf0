// How many requests of each tenant run on all daemons together, and which
// fraction of them may.
//
// Kept by the leader of the control group from the daemons' reports, in memory
// only: a new leader begins with empty buckets, which never lets through more.
// Each tenant has a token bucket that is filled at its rate up to its burst and
// pays for what ran; the fraction follows from the bucket's level and from what
// arrives. Pure, not thread safe.
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
  /// Forgets all that was reported: another member led meanwhile.
  void restart(TimePoint now);
  void on_report(const quota_report& report, TimePoint now);

  /// Nothing until daemons have had time to report since the last restart().
  [[nodiscard]] auto word(TimePoint now) -> std::optional<quota_word>;

 private:
  // Requests by the moment at which they were reported, over the last second.
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
    double rate = 0;   // tokens a second
    double burst = 0;  // most tokens held
    double level = 0;  // tokens; below 0 when more ran than was let through
    TimePoint filled{0};
    arrival_rate arrivals;
  };
  struct daemon_account {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint heard{0};
    std::map<std::string, tenant_use> uses;  // as last reported
  };
  struct fleet {
    std::uint32_t heard = 0;
    std::uint32_t silent = 0;
  };

  static void fill(tenant_account& account, TimePoint now);
  void note_use(daemon_account& daemon, const tenant_use& use, TimePoint now);
  [[nodiscard]] auto count_daemons(TimePoint now) -> fleet;
  [[nodiscard]] auto usable_rate(const tenant_account& account, const fleet& daemons) const
      -> double;
  [[nodiscard]] auto fraction(tenant_account& account, const fleet& daemons, TimePoint now)
      -> double;

  QuotaBounds bounds;
  TimePoint started{0};
  std::map<std::string, tenant_account> tenants;
  std::map<std::string, daemon_account> daemons;
};

}  // namespace ramppond
