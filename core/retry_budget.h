// The retry budget of one service on one daemon.
//
// Every first send earns a fixed share of a repeat, so the sum over all daemons
// stays below the same share of all requests without any exchange between them,
// after restarts too. What is earned lasts for some seconds only: otherwise a
// quiet hour would pay for a storm, the more of it the more daemons there are.
// Pure, not thread safe.
#pragma once

#include <cstdint>
#include <deque>

#include "core/time.h"

namespace ramppond {

/// Repeats earned by each first send.
struct repeat_share {
  double value = 0.1;
};

class retry_budget {
 public:
  retry_budget() = default;
  explicit retry_budget(repeat_share share) : share(share) {}

  void on_first_send(TimePoint now);

  /// Pays for one repeat. False when there is nothing to pay with.
  auto take(TimePoint now) -> bool;

 private:
  struct slot {
    std::int64_t number;  // of a fixed span of time
    double earned;        // and not spent
  };

  void forget(std::int64_t current);

  repeat_share share;
  std::deque<slot> slots;  // oldest first
};

}  // namespace ramppond
