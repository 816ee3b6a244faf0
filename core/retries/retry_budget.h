// Decides whether a proxy may send one more retry to a service.
//
// Input: first sends to the service and wishes to retry, each with its time (microseconds), and the
// allowance of this proxy. Output: pay or refuse. Owns the counts of the last two windows for one
// service at one proxy. Pure, not thread safe.
//
// In every window the retries stay below a share of the first sends in that window, in the window
// before, or in the window that began half a window earlier, whichever has the most. Each proxy
// keeps this bound by its own sends, so the sum over all proxies keeps it without any exchange,
// also after restarts. In addition each proxy has an equal part of an allowance that all proxies
// share, whatever their requests. A proxy with one request a second never has a whole retry to
// spend, so a fraction of a retry is spent by a random draw: the fleet retries its share however
// thinly its requests are spread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/time.h"

namespace ramppond {

/// Retries allowed for each first send.
struct retry_share {
  double value = 0.1;
};

/// Share of the allowed retries that a retry must leave to others that complete more work and
/// reserve less. Never more is kept for those than they asked for in the last window.
struct budget_reserve {
  double share = 0;
};

/// A uniform draw from [0, 1): a fraction of a retry is paid with that probability. With 1 only
/// whole retries are paid.
struct budget_draw {
  double value = 1;
};

/// Retries of a service's requests that all proxies together may send beyond the share.
struct shared_retries {
  double count = 0;  ///< In any `window`.
  Duration window = seconds(10);
};

/// Retries that one proxy may send in a window beyond the share.
struct retry_allowance {
  double count = 0;
};

/// The part of one of `proxies` in `shared`.
auto allowance_per_proxy(const shared_retries& shared, std::size_t proxies) -> retry_allowance;

class retry_budget {
 public:
  retry_budget() = default;
  explicit retry_budget(retry_share share, Duration window = seconds(10))
      : share(share), window(window) {}

  void set_allowance(retry_allowance allowed) { this->allowance = allowed; }

  void on_first_send(TimePoint now);

  /// Pays for one retry if `reserve` of what is allowed is left after it. A fraction of a retry is
  /// spent on `draw`. Returns false if there is not enough.
  auto take(TimePoint now, budget_reserve reserve = {}, budget_draw draw = {}) -> bool;

  /// Counts a first send as a retry, since a retried request made it. Always pays, even beyond the
  /// budget.
  void charge(TimePoint now);

 private:
  struct slot {
    std::int64_t number;  // of a tenth of the window, counted from time 0
    double first_sends = 0;
    double retries = 0;
    std::map<double, double> wanted = {};  // retries asked for, by the share that they reserve
  };

  auto current_slot(TimePoint now) -> slot&;
  // Of slots from `begin` up to `end`, which is left out.
  [[nodiscard]] auto first_sends(std::int64_t begin, std::int64_t end) const -> double;
  [[nodiscard]] auto retries_since(std::int64_t begin) const -> double;
  // Retries asked for that reserve less than `reserve`.
  [[nodiscard]] auto wanted_by_others(std::int64_t begin, budget_reserve reserve) const -> double;
  [[nodiscard]] auto allowed_in_window(std::int64_t begin, std::int64_t current) const -> double;
  [[nodiscard]] auto usable(std::int64_t current, budget_reserve reserve) const -> double;

  retry_share share;
  Duration window = seconds(10);
  retry_allowance allowance;
  std::deque<slot> slots;  // oldest first
};

}  // namespace ramppond
