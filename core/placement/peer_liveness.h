// Tells a peer that has fallen silent from one that works on long requests.
//
// A frozen process keeps its connections: the kernel still acknowledges what is
// sent there, so neither a refused connection nor a time-out of TCP tells. When
// requests are outstanding and nothing was heard of the peer for a while, it is
// pinged; a daemon answers pings whatever its server does. One that does not
// answer is silent until it is heard again. Pure, not thread safe.
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

  /// Anything came from the peer; `outstanding` requests still wait for it.
  void on_heard(TimePoint now, std::uint32_t outstanding);

  /// The last outstanding request has ended in another way.
  void on_idle() { this->waiting_since.reset(); }

  /// The ping's connection failed.
  void on_ping_failed() { this->pinged.reset(); }

  /// To be called a few times in each of the spans below; moves at most one
  /// step.
  auto check(TimePoint now) -> liveness_step;

  [[nodiscard]] auto is_silent() const -> bool { return this->silent; }
  /// Nothing waits for the peer and it is not silent: check() has nothing to do before on_sent().
  [[nodiscard]] auto is_at_rest() const -> bool {
    return !this->silent && !this->pinged && !this->waiting_since;
  }

 private:
  std::optional<TimePoint> waiting_since;
  std::optional<TimePoint> pinged;  // not answered yet
  TimePoint last_ping{0};
  bool silent = false;
};

}  // namespace ramppond
