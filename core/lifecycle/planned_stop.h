// Decides when a proxy that was asked to stop refuses peers, closes its listeners and ends.
//
// Input: when the stop was requested, the times of its phases (microseconds), and at each step the
// requests and connections that are left. Output: the phase. Owns the phase reached. Pure, not
// thread safe.
//
// A stop can't end just because no request came for a while: new requests may arrive at any moment
// as long as a connection or a listener is open. So the proxy first asks everybody to leave, then
// closes its listeners and all idle connections, and ends when the requests that it had read by
// then are answered and their connections are closed. docs/design/0005 gives the order;
// spec/planned_stop.pml is its model.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace ramppond {

enum class stop_phase : std::uint8_t {
  draining,        ///< Serves everybody; each answer asks to close the connection.
  refusing_peers,  ///< Requests of other proxies are refused as not run.
  closing,         ///< Listeners and idle connections are closed; requests under way are answered.
  ended,           ///< The process may end.
};

/// Times of the phases, counted from the request to stop.
struct stop_times {
  Duration refuse_peers{0};  ///< Until then other proxies may not know of the stop.
  Duration least{0};         ///< Closing begins no earlier: clients are asked to leave until then.
  Duration close_latest{0};  ///< Closing begins then even if requests keep coming.
  Duration end_latest{0};    ///< The process ends then, whatever is still under way.
};

/// What is left to do.
struct stop_load {
  std::size_t requests = 0;     ///< Read and not answered yet, of clients and peers.
  std::size_t connections = 0;  ///< Of clients and peers, those included that are closing.
};

class planned_stop {
 public:
  planned_stop(stop_times times, TimePoint requested) : times(times), requested(requested) {}

  /// The phase at `now`; never an earlier one than before. On `closing` the
  /// caller must close before it reads anything else, since the phase may have
  /// begun because nothing was under way.
  auto step(stop_load load, TimePoint now) -> stop_phase;

 private:
  [[nodiscard]] auto next(stop_load load, Duration elapsed) const -> stop_phase;

  stop_times times;
  TimePoint requested;
  stop_phase reached = stop_phase::draining;
};

}  // namespace ramppond
