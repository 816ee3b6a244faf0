// A FIFO queue that admits one suspected request at a time to a server, so that a crash of the
// server identifies it.
//
// Owns the queue of waiting requests and the id of the running one. Relies on the caller to report
// when a request has ended or stopped waiting, and to collect the requests whose wait has expired:
// most suspected requests are harmless and must not wait for long. No I/O; not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/time.h"

namespace ramppond {

class isolation_queue {
 public:
  /// Identifies a request. Chosen by the caller and never reused.
  using request_id = std::uint64_t;

  /// Returns whether the request may run at once. Otherwise it waits until `wait_deadline`.
  auto enter(request_id id, TimePoint wait_deadline) -> bool;
  /// The request has ended or stopped waiting. No effect if it never entered.
  void leave(request_id id);
  /// Returns the next request to run if none is running and one is waiting.
  auto take_next() -> std::optional<request_id>;
  /// Removes and returns the waiting requests whose deadline has passed.
  auto take_expired(TimePoint now) -> std::vector<request_id>;
  /// Earliest deadline of the waiting requests, or std::nullopt if none waits.
  [[nodiscard]] auto next_expiry() const -> std::optional<TimePoint>;

  [[nodiscard]] auto is_free() const -> bool { return !this->running; }

 private:
  struct waiter {
    request_id id;
    TimePoint wait_deadline;
  };
  std::optional<request_id> running;
  std::deque<waiter> queue;
};

}  // namespace ramppond
