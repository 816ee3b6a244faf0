// Decides how much work the front of the fleet is to keep away from one server.
//
// Input: for each request offered to the server, the utilization of its slots, the wait that the
// request would have and the wait that counts as full pressure (microseconds). Output: a shed
// level, in ranks of requests. Owns the smoothed pressure and the integral part; relies on being
// told of every offer. Pure, not thread safe.
//
// A request that is refused deep in a tree of calls wastes all that its tree has cost so far, so a
// scarce service tells the proxies where client requests begin how much to refuse there (as DAGOR
// does, Zhou et al., SoCC 2018). A change of the level reaches the server only after the trees
// admitted before have made their calls, and a queue fills within that time. A controller that only
// integrates over the queue therefore swings. This one is proportional and integral, and its
// measure covers both the utilization of the slots and the wait in the queue: it falls while the
// queue still drains and rises before there is a queue.
#pragma once

#include "core/time.h"

namespace ramppond {

/// Work to keep away, in ranks of requests: 0 is none, 0.5 half of the least urgent rank, 1.5 all
/// of the least urgent rank and half of the next one.
struct shed_level {
  double value = 0;
};

/// The state of a server at the moment a request was offered to it.
struct offered_load {
  double utilization = 0;  ///< Share of its slots in use, this request's included; 1 if it waits.
  Duration wait{0};        ///< Expected before the request is dispatched.
  Duration reference_wait{
      0};  ///< The wait that counts as full pressure; core/admission/patience.h.
};

class overload_controller {
 public:
  void on_offer(const offered_load& offered, TimePoint now);

  /// Between 0 and 3 ranks; falls while nothing is offered.
  [[nodiscard]] auto level(TimePoint now) const -> shed_level;

 private:
  [[nodiscard]] auto excess() const -> double;
  /// Share of pressure and level that is left after the time without an offer.
  [[nodiscard]] auto idle_decay(TimePoint now) const -> double;

  /// Smoothed: 0 idle, 1 all slots in use, 2 a pressing wait, 3 two pressing waits or more.
  double pressure = 0;
  double integral = 0;  ///< In ranks.
  TimePoint last_offer{0};
};

}  // namespace ramppond
