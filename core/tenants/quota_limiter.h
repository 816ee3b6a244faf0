// Decides which requests of tenants with a limit a proxy admits.
//
// Input: each request's tenant, the answers of the leader of the coordinators, and the number of
// proxies (times in microseconds; they must go on while the machine is suspended). Output: admit,
// or refuse with a time after which to retry. Owns the totals of this proxy's requests by tenant
// and the reports of them. Pure, not thread safe.
//
// While the leader answers, the proxy admits the fraction that the leader gives for each tenant
// near its limit, and all requests of other tenants. Without recent answers it admits an equal part
// of what the bound leaves to all proxies, so that they keep the bound without any exchange, and
// never more than the fraction given last.
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

struct quota_verdict {
  bool admitted = true;
  bool alone = false;       // decided without a recent answer of the leader
  Duration retry_after{0};  // when more of the tenant's requests may be admitted; if refused
};

class quota_limiter {
 public:
  quota_limiter(QuotaBounds bounds, std::uint64_t seed)
      : bounds(bounds), random(seed), drawing_seed(random.next()) {}

  void set_limits(const std::vector<TenantDefinition>& tenants);
  /// Proxies that are known from their records.
  void set_known_proxies(std::size_t count) { this->known_proxies = count; }

  /// A request of `tenant` arrived; if it is admitted it counts as run.
  auto ask(const std::string& tenant, TimePoint now) -> quota_verdict;
  /// A request that was admitted has provably not run.
  void on_not_run(const std::string& tenant, TimePoint now);

  /// Whether some tenant has sent so much since the last report that a report is due at once.
  [[nodiscard]] auto has_surge() const -> bool { return this->surge; }
  /// The totals that the leader has not confirmed; nothing when no tenant has a
  /// limit. The caller fills in `proxy_address` and `incarnation`.
  auto report() -> std::optional<quota_report>;
  /// The leader's answer to the report of that sequence number, which was sent at `asked`. Answers
  /// may come in any order and after later reports.
  void on_answer(std::uint64_t sequence, const quota_answer& latest, TimePoint asked);

 private:
  /// Requests that ran within the last window.
  class recent_runs {
   public:
    void add(double requests, TimePoint now, Duration window);
    [[nodiscard]] auto count(TimePoint now, Duration window) -> double;
    /// Time until the oldest of them lies outside the window.
    [[nodiscard]] auto oldest_ends(TimePoint now, Duration window) const -> Duration;

   private:
    struct slot {
      std::int64_t number;
      double requests;
    };
    void forget(TimePoint now, Duration window);
    std::deque<slot> slots;
  };
  struct tenant_account {
    double rate = 0;   // requests per second; 0 for no limit
    double burst = 0;  // requests
    std::uint64_t arrived = 0;
    std::uint64_t run = 0;
    std::uint64_t arrived_confirmed = 0;  // by a leader
    std::uint64_t run_confirmed = 0;
    std::uint64_t arrived_reported = 0;
    double fraction = 1;  // of its requests, given by the leader
    double carried = 0;   // parts of requests left over from those before
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
  [[nodiscard]] auto equal_part(const std::string& tenant, const tenant_account& account) const
      -> double;
  [[nodiscard]] static auto spend_fraction(tenant_account& account) -> bool;

  QuotaBounds bounds;
  Random random;
  std::uint64_t drawing_seed;  // differs between proxies
  std::map<std::string, tenant_account> tenants;
  std::size_t known_proxies = 0;
  std::uint32_t reporting_proxies = 0;
  std::optional<TimePoint> answer_asked;  // when the report of the latest answer was sent
  std::uint64_t sequence = 0;
  std::optional<sent_report> last_report;
  bool surge = false;  // since the last report
};

}  // namespace ramppond
