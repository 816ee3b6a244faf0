// The phases of a planned stop of a daemon that forwards requests.
//
// A stop ends by protocol and not by a time without requests: new requests may
// arrive at any moment as long as a connection or a listener is open. So the
// daemon first asks everybody to leave, then closes its listeners and all
// connections at rest, and ends when the requests that it had read by then are
// answered and their connections are closed. docs/design/0005 gives the order;
// spec/planned_stop.pml is its model. Pure, not thread safe.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace ramppond {

enum class stop_phase : std::uint8_t {
  draining,        ///< Serves everybody; each answer asks to close the connection.
  refusing_peers,  ///< Requests of other daemons are refused as not run.
  closing,         ///< Listeners and connections at rest are closed; the rest is answered.
  ended,           ///< The process may end.
};

/// When phases may begin, counted from the request to stop.
struct stop_times {
  Duration refuse_peers{0};  ///< Until then others may not know that the daemon leaves.
  Duration least{0};         ///< The platform's clients are told to leave until then.
  Duration close_latest{0};  ///< Closes then even while requests keep coming.
  Duration end_latest{0};    ///< Ends then, whatever is still under way.
};

/// What is left to do at a moment.
struct stop_load {
  std::size_t requests = 0;     ///< Read and not answered yet, of clients and peers.
  std::size_t connections = 0;  ///< Of clients and peers, those included that are closing.
};

class planned_stop {
 public:
  planned_stop(stop_times times, TimePoint asked) : times(times), asked(asked) {}

  /// The phase at `now`; never an earlier one than before. Whoever is told
  /// `closing` must close before anything else is read, since it may follow
  /// from an idle moment.
  auto step(stop_load load, TimePoint now) -> stop_phase;

  [[nodiscard]] auto phase() const -> stop_phase { return this->reached; }

 private:
  [[nodiscard]] auto next(stop_load load, Duration elapsed) const -> stop_phase;

  stop_times times;
  TimePoint asked;
  stop_phase reached = stop_phase::draining;
};

}  // namespace ramppond
