// How much less work the daemon beside a server wants to be begun for it.
//
// A request that is refused deep in a tree of calls wastes all that its tree has
// cost so far, so a scarce service tells the daemons at the front how much to
// keep away (as DAGOR does, Zhou et al., SoCC 2018). What is kept away shows at
// the server only after the trees that were let in before have made their calls,
// and a queue fills within that time, so a controller that only adds up swings
// between too much and too little. This one is proportional and integral on one
// measure that goes on from a server's utilization into the wait of its queue: it
// sees the load fall while the queue is still there, and rise before there is
// one. Pure, not thread safe.
#pragma once

#include "core/time.h"

namespace ramppond {

/// Work to be kept away, counted in ranks of requests: 0 for none, 0.5 for half
/// of the least urgent rank, 1.5 for all of it and half of the next one.
struct shed_level {
  double value = 0;
};

/// What a request met that was offered to a server.
struct offered_load {
  double utilization = 0;     ///< Of the server's slots, the request included; 1 if it must wait.
  Duration wait{0};           ///< That it would have at the present rate.
  Duration pressing_wait{0};  ///< A wait that means full pressure.
};

class overload_controller {
 public:
  void on_offer(const offered_load& offered, TimePoint now);

  [[nodiscard]] auto level(TimePoint now) const -> shed_level;

 private:
  [[nodiscard]] auto excess() const -> double;
  /// What is left of the level after the time since the last offer.
  [[nodiscard]] auto kept_since_last(TimePoint now) const -> double;

  double pressure = 0;  // smoothed; 0 idle, 1 all slots taken, 2 a pressing wait, 3 twice that
  double integral = 0;
  TimePoint last{0};
};

}  // namespace ramppond
