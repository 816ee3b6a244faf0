// Decides whether requests may go to a server that has failed requests lately.
//
// Input: how each admitted request ended, and for each new one whether it may be retried. Output:
// admit or not. Owns the state of one server: closed (all are admitted), open (none until a pause
// has passed), half-open (one probe is under way). Pure, not thread safe.
//
// The proxy beside a server sees every answer of it, so it finds out with the fewest failed
// requests. What it refuses has provably not run and goes to another server at no cost to any
// retry budget. If each caller had to find out by itself, the failures would grow with the number
// of callers.
#pragma once

#include <cstdint>
#include <variant>

#include "core/time.h"

namespace ramppond {

class circuit_breaker {
 public:
  circuit_breaker() : state(closed{0}) {}

  /// Whether a request may go to the server now. After a pause one request is admitted as probe;
  /// `retryable` ones are preferred, since the probe may fail.
  auto admit(bool retryable, TimePoint now) -> bool;

  /// The server did an admitted request.
  void on_success();
  /// The server failed an admitted request for a reason of its own.
  void on_failure(TimePoint now);

  /// An admitted request ended in a way that says nothing about the server.
  void on_unknown(TimePoint now);

  [[nodiscard]] auto is_closed() const -> bool {
    return std::holds_alternative<closed>(this->state);
  }

 private:
  struct closed {
    std::uint32_t failures;  // in a row
  };
  struct open {
    TimePoint until;
    Duration pause;
  };
  struct half_open {
    TimePoint since;  // when the probe was admitted
    Duration pause;
  };

  std::variant<closed, open, half_open> state;
};

}  // namespace ramppond
