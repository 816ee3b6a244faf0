// Rate limiting of tenants at one proxy.
//
// Input: the tenant of each request, the answers of the coordinators' leader, and the number of
// proxies. Times are in microseconds, from a clock that keeps running while the machine is
// suspended. Output: admission, or refusal with a time after which to retry. Owns this proxy's
// request totals by tenant and the reports of them to the leader. No I/O; not thread safe.
//
// While the leader answers, the proxy admits the fraction of requests that the leader assigns to
// each tenant near its limit, and all requests of other tenants. Without a recent answer it admits
// an equal share of the bound, so that all proxies together keep the bound without communication,
// and never more than the last assigned fraction.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/tenants/quota_bounds.h"
#include "core/tenants/quota_messages.h"
#include "core/time.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

struct quota_decision {
  bool admitted = true;
  bool alone = false;       // decided without a recent answer of the leader
  Duration retry_after{0};  // if refused: time until further requests may be admitted
};

class quota_limiter {
 public:
  quota_limiter(QuotaBounds bounds, std::uint64_t seed)
      : bounds(bounds), random(seed), rounding_seed(random.next()) {}

  void set_limits(const std::vector<TenantDefinition>& tenants);
  /// Number of proxies that are known from their instance records.
  void set_known_proxies(std::size_t count) { this->known_proxies = count; }

  /// Decides whether to admit a request of `tenant`. An admitted request counts as run.
  auto ask(const std::string& tenant, TimePoint now) -> quota_decision;
  /// Refunds an admitted request that has provably not run.
  void on_not_run(const std::string& tenant, TimePoint now);

  /// Whether a tenant has sent so many requests since the last report that the next one is due now.
  [[nodiscard]] auto has_surge() const -> bool { return this->surge; }
  /// Returns a report of the totals that no leader has confirmed, or std::nullopt if no tenant has
  /// a limit. The caller fills in `proxy_address` and `incarnation`.
  auto report() -> std::optional<quota_report>;
  /// Processes the leader's answer to the report with number `sequence`, which was sent at
  /// `asked_at`. Answers may arrive in any order, also after later reports were sent.
  void on_answer(std::uint64_t sequence, const quota_answer& latest, TimePoint asked_at);

 private:
  /// Counts the requests that ran within the last window.
  class recent_runs {
   public:
    void add(double requests, TimePoint now, Duration window);
    [[nodiscard]] auto count(TimePoint now, Duration window) -> double;
    /// Time until the oldest of these requests leaves the window.
    [[nodiscard]] auto time_until_oldest_expires(TimePoint now, Duration window) const -> Duration;

   private:
    struct slot {
      std::int64_t number;
      double requests;
    };
    void drop_expired_slots(TimePoint now, Duration window);
    std::deque<slot> slots;
  };
  struct tenant_account {
    double rate = 0;   // requests per second; 0 for no limit
    double burst = 0;  // requests
    std::uint64_t arrived = 0;
    std::uint64_t run = 0;
    std::uint64_t arrived_confirmed = 0;  // total that a leader has confirmed
    std::uint64_t run_confirmed = 0;
    std::uint64_t arrived_reported = 0;
    double fraction = 1;  // of requests to admit, assigned by the leader
    double carry = 0;     // fraction of a request carried over from earlier ones
    recent_runs recent;
  };
  struct sent_report {
    std::uint64_t sequence;
    std::vector<tenant_use> uses;
  };

  [[nodiscard]] auto has_recent_answer(TimePoint now) const -> bool;
  void confirm(const std::vector<tenant_use>& uses);
  [[nodiscard]] auto proxy_count() const -> double;
  [[nodiscard]] auto is_surge(const tenant_account& account) const -> bool;
  [[nodiscard]] auto equal_share(const std::string& tenant, const tenant_account& account) const
      -> double;
  [[nodiscard]] static auto spend_fraction(tenant_account& account) -> bool;

  QuotaBounds bounds;
  Random random;
  std::uint64_t rounding_seed;  // for equal_share(); differs between proxies
  std::map<std::string, tenant_account> tenants;
  std::size_t known_proxies = 0;
  std::uint32_t reporting_proxies = 0;
  std::optional<TimePoint> answered_report_sent_at;  // for the latest answer
  std::uint64_t sequence = 0;
  std::optional<sent_report> last_report;
  bool surge = false;  // seen since the last report
};

}  // namespace ramppond
