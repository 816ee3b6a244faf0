// Which requests of tenants a daemon lets through.
//
// In touch with the leader of the control group, it lets through the fraction
// that the leader gives for each tenant that nears its limit, and all requests
// of the others. Out of touch, it lets through its equal part of what the bound
// leaves to all daemons, so that they keep it together without a word between
// them, and no more than the fraction that it was given last. The time must go
// on while the machine is suspended. Pure, not thread safe.
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
  bool alone = false;       // decided without a recent word of the leader
  Duration retry_after{0};  // when the tenant may hope for more, if not admitted
};

class quota_gate {
 public:
  quota_gate(QuotaBounds bounds, std::uint64_t seed)
      : bounds(bounds), random(seed), drawing_seed(random.next()) {}

  void set_limits(const std::vector<TenantDefinition>& tenants);
  /// Daemons that are known without the leader's word.
  void set_known_daemons(std::size_t count) { this->known_daemons = count; }

  /// A request of `tenant` came; if it is admitted it counts as run.
  auto ask(const std::string& tenant, TimePoint now) -> quota_verdict;
  /// A request that was admitted has provably not run.
  void on_not_run(const std::string& tenant, TimePoint now);

  /// Whether some tenant has sent so much since the last report that the leader should know before
  /// the next one is due.
  [[nodiscard]] auto surging() const -> bool { return this->surge; }
  /// Tenants whose totals the leader does not know; empty when no tenant has a
  /// limit. `daemon` and `incarnation` are the caller's to fill in.
  auto report() -> std::optional<quota_report>;
  /// The leader's answer to the report with that sequence, sent at `asked`. Answers may come in
  /// any order and after later reports.
  void on_word(std::uint64_t sequence, const quota_word& word, TimePoint asked);

 private:
  /// Requests that ran within the last window.
  class recent_runs {
   public:
    void add(double requests, TimePoint now, Duration window);
    [[nodiscard]] auto count(TimePoint now, Duration window) -> double;
    /// When the oldest of them will lie outside the window.
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
    double rate = 0;  // 0: no limit
    double burst = 0;
    std::uint64_t arrived = 0;
    std::uint64_t run = 0;
    std::uint64_t arrived_confirmed = 0;  // by a leader
    std::uint64_t run_confirmed = 0;
    std::uint64_t arrived_reported = 0;
    double fraction = 1;
    double carried = 0;  // parts of requests that may be let through
    recent_runs recent;
  };
  struct sent_report {
    std::uint64_t sequence;
    std::vector<tenant_use> uses;
  };

  [[nodiscard]] auto in_touch(TimePoint now) const -> bool;
  void confirm(const std::vector<tenant_use>& uses);
  [[nodiscard]] auto daemons() const -> double;
  [[nodiscard]] auto surges(const tenant_account& account) const -> bool;
  [[nodiscard]] auto own_part(const std::string& tenant, const tenant_account& account) const
      -> double;
  [[nodiscard]] static auto passes_fraction(tenant_account& account) -> bool;

  QuotaBounds bounds;
  Random random;
  std::uint64_t drawing_seed;  // of this daemon's lots
  std::map<std::string, tenant_account> tenants;
  std::size_t known_daemons = 0;
  std::uint32_t reporting_daemons = 0;
  std::optional<TimePoint> word_asked;  // of the latest word
  std::uint64_t sequence = 0;
  std::optional<sent_report> last_report;
  bool surge = false;
};

}  // namespace ramppond
