// Decides when a peer proxy is pinged and when it counts as silent.
//
// Input: when requests are sent to the peer, when anything is heard from it, and the passing of
// time. Output: ping now, or became silent. Owns the state of one peer; relies on check() being
// called several times within 250 ms. Pure, not thread safe.
//
// A frozen process keeps its connections: the kernel still acknowledges what is sent there, so
// neither a refused connection nor a TCP time-out shows it. A peer that works on long requests
// leaves requests unanswered too, but it answers pings whatever its server does.
#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace ramppond {

enum class liveness_step : std::uint8_t {
  none,
  ping,           ///< The peer is to be pinged now.
  became_silent,  ///< The ping was not answered.
};

class peer_liveness {
 public:
  /// A request left for the peer.
  void on_sent(TimePoint now);

  /// Anything came from the peer; `outstanding` requests still wait for its answer.
  void on_heard(TimePoint now, std::uint32_t outstanding);

  /// The last outstanding request has ended without an answer.
  void on_idle() { this->waiting_since.reset(); }

  /// The ping's connection failed, so it says nothing.
  void on_ping_failed() { this->pinged.reset(); }

  /// What is due at `now`; at most one step at a time.
  auto check(TimePoint now) -> liveness_step;

  /// A ping was not answered and nothing was heard since.
  [[nodiscard]] auto is_silent() const -> bool { return this->silent; }
  /// No request waits for the peer and it is not silent: check() need not be called before
  /// on_sent().
  [[nodiscard]] auto is_at_rest() const -> bool {
    return !this->silent && !this->pinged && !this->waiting_since;
  }

 private:
  std::optional<TimePoint> waiting_since;
  std::optional<TimePoint> pinged;  // when the unanswered ping was sent
  TimePoint last_ping{0};
  bool silent = false;
};

}  // namespace ramppond
