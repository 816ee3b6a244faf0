// Applies the order of retries (core/retries/retry_reserve.h) to forwarded requests, and counts the
// granted and denied retries of each class for the log event `retry_order`.
//
// The order decides which requests fail while a budget is exhausted; the totals show an operator
// which do. Owns the totals. Used on the event loop's thread.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "common/event_log.h"
#include "core/retries/retry_reserve.h"
#include "core/time.h"

namespace ramppond {

struct forwarded_params;

/// Describes a retry of a request with these parameters. `has_not_run`: no attempt at it may have
/// run. A request without a known root counts as one of a tree that its client can send again, and
/// so does every call through an older proxy.
auto ordered_retry_of(const forwarded_params& params, bool has_not_run) -> ordered_retry;

/// Returns what a retry must leave: by the order of retries while that is active, else by
/// reserve_of().
auto reserve_for(const ordered_retry& retry, bool order_is_active) -> budget_reserve;

class retry_order_totals {
 public:
  /// Counts a retry that was requested from the budget.
  void record(retry_class retried, bool granted);

  /// The fields of the log event: granted and denied retries of each class since the start.
  [[nodiscard]] auto fields() const -> std::vector<EventField>;

  /// Writes the log event if a retry was requested since the last one.
  void write_log(TimePoint now);

 private:
  struct totals {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };
  std::array<totals, retry_classes> by_class{};
  bool changed = false;
};

}  // namespace ramppond
