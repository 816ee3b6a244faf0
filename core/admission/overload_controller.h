// Computes how much work the proxies at the edge of the fleet must shed for one server.
//
// Input: for each request offered to the server, the utilization of its slots, the expected wait of
// the request and the reference wait that counts as full pressure (microseconds). Output: a shed
// level, in ranks of requests. Owns the smoothed pressure and the integral part. Relies on seeing
// every offered request. No I/O; not thread safe.
//
// Refusing a request deep in a call tree wastes all work already done for the tree. An overloaded
// service therefore reports to the proxies that receive client requests how much to refuse there
// (as DAGOR does; Zhou et al., SoCC 2018). A change of the level affects the server only after the
// call trees admitted earlier have made their calls, and a queue fills within that time. A
// controller that only integrates over the queue length therefore oscillates. This one is a
// proportional-integral controller whose pressure covers both the utilization of the slots and the
// wait in the queue: the pressure falls while the queue still drains and rises before a queue
// forms.
#pragma once

#include "core/time.h"

namespace ramppond {

/// Work to shed, in ranks of requests: 0 is none, 0.5 is half of the least urgent rank, 1.5 is all
/// of the least urgent rank and half of the next one.
struct shed_level {
  double value = 0;
};

/// The state of a server at the moment when a request is offered to it.
struct offered_load {
  double utilization = 0;  ///< Share of its slots in use, including this request; 1 if it waits.
  Duration wait{0};        ///< Expected before the request is dispatched.
  Duration reference_wait{0};  ///< Counts as full pressure; see core/admission/patience.h.
};

class overload_controller {
 public:
  /// Records that a request was offered to the server.
  void on_offer(const offered_load& offered, TimePoint now);

  /// Returns the shed level, 0 to 3 ranks. It decays while no requests are offered.
  [[nodiscard]] auto level(TimePoint now) const -> shed_level;

 private:
  [[nodiscard]] auto excess() const -> double;
  /// Share of the pressure and the level that is left after the time since the last offer.
  [[nodiscard]] auto idle_decay(TimePoint now) const -> double;

  /// Smoothed: 0 idle, 1 all slots in use, 2 a wait of one reference wait, 3 of two or more.
  double pressure = 0;
  double integral = 0;  ///< In ranks.
  TimePoint last_offer{0};
};

}  // namespace ramppond
