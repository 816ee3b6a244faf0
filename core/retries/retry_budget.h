// The retry budget of one service on one daemon.
//
// In any window, repeats stay below a share of the first sends in that window, in the one before
// it, or in the one half a window before it, whichever has the most. Each daemon keeps to that by
// what it sends itself, so the sum over all daemons keeps to it without any exchange between them,
// after restarts too. Beside it each daemon has its part of what all of them may repeat whatever
// the requests. A daemon with a request a second never has a whole repeat to pay with, so what it
// has of one is drawn for: the fleet repeats its share however thinly its requests are spread.
// Pure, not thread safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "core/time.h"

namespace ramppond {

/// Repeats allowed for each first send.
struct repeat_share {
  double value = 0.1;
};

/// Share of what is allowed that a repeat must leave for those that are worth more, which reserve
/// less. No more is kept for them than they asked for in the last window.
struct budget_reserve {
  double share = 0;
};

/// A uniform draw from [0, 1): less than a whole repeat is one with that probability. With 1 only
/// whole repeats are paid for.
struct budget_draw {
  double value = 1;
};

/// What all daemons together may repeat of a service's requests beyond a share of them.
struct shared_repeats {
  double count = 0;  ///< In any `window`.
  Duration window = seconds(10);
};

/// Repeats that a daemon may send in a window whatever it sends else.
struct repeat_allowance {
  double count = 0;
};

/// The part of one of `daemons` in `shared`.
auto part_of(const shared_repeats& shared, std::size_t daemons) -> repeat_allowance;

class retry_budget {
 public:
  retry_budget() = default;
  explicit retry_budget(repeat_share share, Duration window = seconds(10))
      : share(share), window(window) {}

  void set_allowance(repeat_allowance allowed) { this->allowance = allowed; }

  void on_first_send(TimePoint now);

  /// Pays for one repeat, if `reserve` of what is allowed is left after it. What there is of a
  /// whole one is spent on `draw`. False when there is not enough to pay with.
  auto take(TimePoint now, budget_reserve reserve = {}, budget_draw draw = {}) -> bool;

  /// A first send that counts as a repeat, since a repeated run made it: pays for it even where
  /// there is nothing left to pay with.
  void charge(TimePoint now);

 private:
  struct slot {
    std::int64_t number;  // of a fixed part of the window
    double first_sends = 0;
    double repeats = 0;
    std::map<double, double> asked = {};  // repeats by the share that they reserve; a few shares
  };

  auto current_slot(TimePoint now) -> slot&;
  [[nodiscard]] auto first_sends(std::int64_t begin, std::int64_t end) const -> double;
  [[nodiscard]] auto repeats_since(std::int64_t begin) const -> double;
  [[nodiscard]] auto asked_by_better(std::int64_t begin, budget_reserve reserve) const -> double;
  [[nodiscard]] auto left(std::int64_t current, budget_reserve reserve) const -> double;

  repeat_share share;
  Duration window = seconds(10);
  repeat_allowance allowance;
  std::deque<slot> slots;  // oldest first
};

}  // namespace ramppond
