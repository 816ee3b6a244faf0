// Keeps requests away from a server that fails them.
//
// The daemon beside a server sees every answer of it, so it can tell at once
// when the server fails on its own, and can refuse requests before they reach
// it: they are provably not run and go to another server, at no cost to any
// retry budget. Had each of its callers to find out by itself, the failures
// would grow with their number. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <variant>

#include "core/time.h"

namespace ramppond {

class circuit_breaker {
 public:
  circuit_breaker() : state(closed{0}) {}

  /// Whether a request may go to the server now. While the breaker is open one
  /// request after a pause tries the server; `repeatable` ones are preferred.
  auto admit(bool repeatable, TimePoint now) -> bool;

  /// The server did an admitted request, or failed it for a reason of its own.
  void on_success();
  void on_failure(TimePoint now);

  /// An admitted request ended without telling anything of the server.
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
    TimePoint since;  // when the request that tries the server was let in
    Duration pause;
  };

  std::variant<closed, open, half_open> state;
};

}  // namespace ramppond
