#include "core/lifecycle/planned_stop.h"

namespace ramppond {

auto planned_stop::next(stop_load load, Duration elapsed) const -> stop_phase {
  if (elapsed >= this->times.end_latest) {
    return stop_phase::ended;
  }
  switch (this->reached) {
    case stop_phase::draining:
      return elapsed >= this->times.refuse_peers ? stop_phase::refusing_peers
                                                 : stop_phase::draining;
    case stop_phase::refusing_peers: {
      const bool idle = load.requests == 0 && elapsed >= this->times.least;
      const bool late = elapsed >= this->times.close_latest;
      return idle || late ? stop_phase::closing : stop_phase::refusing_peers;
    }
    case stop_phase::closing:
      return load.requests == 0 && load.connections == 0 ? stop_phase::ended : stop_phase::closing;
    case stop_phase::ended:
      return stop_phase::ended;
  }
  return stop_phase::ended;
}

auto planned_stop::step(stop_load load, TimePoint now) -> stop_phase {
  this->reached = this->next(load, now - this->requested);
  return this->reached;
}

}  // namespace ramppond
