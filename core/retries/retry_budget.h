// Retry budget: limits the retries that one proxy sends to one service.
//
// Input: first sends to the service and requested retries, each with its time (microseconds), and
// the allowance of this proxy. Output: granted or denied. Owns the counts of the last two windows.
// No I/O; not thread safe.
//
// In every window the number of retries stays below a share of the first sends in that window, in
// the previous window or in the window that began half a window earlier, whichever has the most.
// Each proxy keeps this limit for its own sends, so the fleet keeps it without communication, also
// after restarts. In addition each proxy has an equal part of an allowance that all proxies share,
// independent of their requests. A proxy with one request per second never has a whole retry to
// spend, so a fraction of a retry is granted by a random draw. The fleet therefore retries its
// share even if the requests are spread over many proxies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/time.h"

namespace ramppond {

/// Number of retries allowed for each first send.
struct retry_share {
  double value = 0.1;
};

/// Share of the allowed retries that a retry must leave to retries that complete more work and
/// reserve less.
struct budget_reserve {
  double share = 0;
  /// Bounds what is kept for them. 0: their number in the last window. Otherwise the number
  /// expected within this time at the rate of the last one or two tenths of a window, so that
  /// retries are kept from their first requests on, before less valuable ones have used up the
  /// budget.
  Duration forecast{0};
};

/// A uniform draw from [0, 1). A fraction of a retry is granted with that probability. With 1 only
/// whole retries are granted.
struct budget_draw {
  double value = 1;
};

/// Retries to a service that all proxies together may send in addition to the share.
struct shared_retries {
  double count = 0;  ///< In any `window`.
  Duration window = seconds(10);
};

/// Retries that one proxy may send in a window in addition to the share.
struct retry_allowance {
  double count = 0;
};

/// Returns the part of `shared` that each of `proxies` proxies may use.
auto allowance_per_proxy(const shared_retries& shared, std::size_t proxies) -> retry_allowance;

class retry_budget {
 public:
  retry_budget() = default;
  explicit retry_budget(retry_share share, Duration window = seconds(10))
      : share(share), window(window) {}

  void set_allowance(retry_allowance allowed) { this->allowance = allowed; }

  /// Records the first send of a request to the service.
  void on_first_send(TimePoint now);

  /// Takes one retry from the budget if it leaves `reserve` of the allowed retries. If only a
  /// fraction of a retry is left, `draw` decides. Returns whether the retry is granted.
  auto take(TimePoint now, budget_reserve reserve = {}, budget_draw draw = {}) -> bool;

  /// Counts a first send as a retry because a retried request made it. Charges the budget even if
  /// it is exhausted.
  void charge(TimePoint now);

 private:
  struct slot {
    std::int64_t number;  // index of this tenth of a window, counted from time 0
    double first_sends = 0;
    double retries = 0;
    std::map<double, double> requested = {};  // requested retries by the share that they reserve
  };

  auto current_slot(TimePoint now) -> slot&;
  // Sum over the slots in [begin, end).
  [[nodiscard]] auto first_sends(std::int64_t begin, std::int64_t end) const -> double;
  [[nodiscard]] auto retries_since(std::int64_t begin) const -> double;
  // Requested retries that reserve less than `reserve`.
  [[nodiscard]] auto requested_below_reserve(std::int64_t begin, budget_reserve reserve) const
      -> double;
  // The number of such retries to keep; see budget_reserve::forecast. The current slot is
  // incomplete, so the previous one counts if more were requested in it.
  [[nodiscard]] auto expected_below_reserve(std::int64_t current, budget_reserve reserve) const
      -> double;
  [[nodiscard]] auto allowed_in_window(std::int64_t begin, std::int64_t current) const -> double;
  [[nodiscard]] auto usable(std::int64_t current, budget_reserve reserve) const -> double;

  retry_share share;
  Duration window = seconds(10);
  retry_allowance allowance;
  std::deque<slot> slots;  // oldest first
};

}  // namespace ramppond
