// Lets one suspected request at a time through to a server, so that a crash of the
// server names it.
//
// Owns the order of those that wait, and who runs. Relies on its caller to say when
// a request has ended or waits no longer, and to ask for those whose time to wait
// is over: most suspected requests are innocent and must not wait for long. Pure,
// not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/time.h"

namespace ramppond {

class isolation_queue {
 public:
  /// Names one request; chosen by the caller, never reused.
  using request_id = std::uint64_t;

  /// Whether it may run at once; otherwise it waits, until `give_up` at the latest.
  auto enter(request_id id, TimePoint give_up) -> bool;
  /// It has ended or waits no longer; without effect on one that never entered.
  void leave(request_id id);
  /// The next one that may run, if none does.
  auto take_next() -> std::optional<request_id>;
  /// Takes out those whose `give_up` has come.
  auto take_expired(TimePoint now) -> std::vector<request_id>;
  /// When take_expired() may next give something; nothing if none waits.
  [[nodiscard]] auto next_expiry() const -> std::optional<TimePoint>;

  [[nodiscard]] auto is_free() const -> bool { return !this->holder; }

 private:
  struct waiter {
    request_id id;
    TimePoint give_up;
  };
  std::optional<request_id> holder;
  std::deque<waiter> queue;
};

}  // namespace ramppond
