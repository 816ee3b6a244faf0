// Circuit breaker of one server, driven by the outcomes of its requests.
//
// Input: how each admitted request ended, and whether each new request may be retried. Output:
// admit or refuse. Owns the state of one server: closed (all requests are admitted), open (none is
// admitted until a pause has passed) or half-open (one probe is in flight). No I/O; not thread
// safe.
//
// The breaker runs in the proxy beside the server, which sees all of its answers and so detects a
// failing server with the fewest failed requests. A request refused here provably did not run and
// is sent to another server without a charge to any retry budget. With a breaker in each caller,
// the number of failures would grow with the number of callers.
#pragma once

#include <cstdint>
#include <variant>

#include "core/time.h"

namespace ramppond {

class circuit_breaker {
 public:
  circuit_breaker() : state(closed{0}) {}

  /// Returns whether a request may be sent to the server now. After a pause one request is admitted
  /// as a probe. `retryable` requests are preferred, since the probe may fail.
  auto admit(bool retryable, TimePoint now) -> bool;

  /// Records that the server completed an admitted request.
  void on_success();
  /// Records that the server itself failed an admitted request.
  void on_failure(TimePoint now);

  /// Records that an admitted request ended in a way that says nothing about the server.
  void on_unknown(TimePoint now);

  /// Records that the request admitted at `admitted_at` was not sent to the server. If it was the
  /// probe, the next request may be the probe in its place.
  void on_not_sent(TimePoint admitted_at);

  [[nodiscard]] auto is_closed() const -> bool {
    return std::holds_alternative<closed>(this->state);
  }

 private:
  struct closed {
    std::uint32_t failures;  // consecutive
  };
  struct open {
    TimePoint until;
    Duration pause;
  };
  struct half_open {
    TimePoint since;  // time at which the probe was admitted
    Duration pause;
    TimePoint open_until;  // end of the pause before the probe
  };

  std::variant<closed, open, half_open> state;
};

}  // namespace ramppond
