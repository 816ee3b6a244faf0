// Failure detector for a peer proxy: decides when it is pinged and when it counts as silent.
//
// Input: when requests are sent to the peer and when anything is received from it. Output: ping now
// or became silent. Owns the state of one peer. Relies on check() being called several times within
// 250 ms. No I/O; not thread safe.
//
// The connections of a frozen process stay open and the kernel acknowledges what is sent there, so
// neither a refused connection nor a TCP timeout reveals it. A peer whose server works on long
// requests leaves them unanswered too, but still answers pings.
#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace ramppond {

enum class liveness_step : std::uint8_t {
  none,
  ping,           ///< The peer must be pinged now.
  became_silent,  ///< The ping was not answered.
};

class peer_liveness {
 public:
  /// Records that a request was sent to the peer.
  void on_sent(TimePoint now);

  /// Records that something was received from the peer. `outstanding` requests still wait for an
  /// answer.
  void on_heard(TimePoint now, std::uint32_t outstanding);

  /// Records that the last outstanding request ended without an answer.
  void on_idle() { this->waiting_since.reset(); }

  /// Records that the connection of the ping failed, so that the ping says nothing about the peer.
  void on_ping_failed() { this->pinged.reset(); }

  /// Returns the step that is due at `now`, at most one at a time.
  auto check(TimePoint now) -> liveness_step;

  /// Whether a ping was not answered and nothing has been received since.
  [[nodiscard]] auto is_silent() const -> bool { return this->silent; }
  /// Whether no request waits for the peer and it is not silent, so that check() need not be called
  /// before the next on_sent().
  [[nodiscard]] auto is_idle() const -> bool {
    return !this->silent && !this->pinged && !this->waiting_since;
  }

 private:
  std::optional<TimePoint> waiting_since;
  std::optional<TimePoint> pinged;  // time at which the unanswered ping was sent
  TimePoint last_ping{0};
  bool silent = false;
};

}  // namespace ramppond
