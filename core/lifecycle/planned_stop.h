// Graceful shutdown of a proxy: decides when it refuses peers, closes its listeners and ends.
//
// Input: when the stop was requested, the times of its phases (microseconds), and at each step the
// remaining requests and connections. Output: the phase. Owns the current phase. No I/O; not thread
// safe.
//
// A proxy must not end just because it has been idle for a while: new requests may arrive as long
// as a connection or a listener is open. So the proxy first asks all callers to leave, then closes
// its listeners and all idle connections. It ends when the requests that it had read by then are
// answered and their connections are closed. docs/design/0005 describes the sequence;
// spec/planned_stop.pml is its model.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace ramppond {

enum class stop_phase : std::uint8_t {
  draining,        ///< All requests are served; each answer asks to close the connection.
  refusing_peers,  ///< Requests of other proxies are refused as not run.
  closing,         ///< Listeners and idle connections are closed; requests in flight are answered.
  ended,           ///< The process may end.
};

/// Times of the phases, counted from the stop request.
struct stop_times {
  Duration refuse_peers{0};  ///< Peers are served until then, since they may not know of the stop.
  Duration least{0};         ///< Minimum time until closing; clients are asked to leave until then.
  Duration close_latest{0};  ///< Closing begins then even if requests keep arriving.
  Duration end_latest{0};    ///< The process ends then, whatever is still in flight.
};

/// The remaining work of a stopping proxy.
struct stop_load {
  std::size_t requests = 0;     ///< Requests of clients and peers that were read and not answered.
  std::size_t connections = 0;  ///< Connections of clients and peers, including closing ones.
};

class planned_stop {
 public:
  planned_stop(stop_times times, TimePoint requested) : times(times), requested(requested) {}

  /// Returns the phase at `now`, which never moves back to an earlier one. On `closing` the caller
  /// must close before it reads anything else, since the phase may have begun because no request
  /// was in flight.
  auto step(stop_load load, TimePoint now) -> stop_phase;

 private:
  [[nodiscard]] auto next(stop_load load, Duration elapsed) const -> stop_phase;

  stop_times times;
  TimePoint requested;
  stop_phase reached = stop_phase::draining;
};

}  // namespace ramppond
