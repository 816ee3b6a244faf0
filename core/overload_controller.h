// How much less work the daemon beside a server wants to be begun for it.
//
// A request that is refused deep in a tree of calls wastes all that its tree has
// cost so far, so a scarce service tells the daemons at the front how much to
// keep away (as DAGOR does, Zhou et al., SoCC 2018). The level is found by an
// integral controller on the time that requests would wait, as a share of a
// time that means full pressure: it rises while that share is above a target and falls off
// by itself. Pure, not thread safe.
#pragma once

#include "core/time.h"

namespace ramppond {

/// Work to be kept away, counted in ranks of requests: 0 for none, 0.5 for half
/// of the least urgent rank, 1.5 for all of it and half of the next one.
struct shed_level {
  double value = 0;
};

class overload_controller {
 public:
  /// A request was offered that would wait for `wait`; `pressing_wait` means full
  /// pressure.
  void on_offer(Duration wait, Duration pressing_wait, TimePoint now);

  [[nodiscard]] auto level(TimePoint now) const -> shed_level;

 private:
  [[nodiscard]] auto fallen(Duration time) const -> double;

  double pressure = 0;  // smoothed
  double raised = 0;    // the level at the last offer
  TimePoint last{0};
};

}  // namespace ramppond
