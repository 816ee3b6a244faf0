// Lets one suspected request at a time through to a server, so that the end of
// the server tells which of them is to blame.
//
// Most suspected requests were merely beside the one that ends servers, so none
// of them waits here for long: a request under little suspicion that has waited
// for its time goes on beside the others, one under heavy suspicion is refused,
// as not run. Pure, not thread safe.
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

  /// Whether it may go on at once; otherwise it waits, until `give_up` at the
  /// latest.
  auto enter(request_id id, TimePoint give_up) -> bool;
  /// It has ended, or doesn't want to go on. One that never entered is passed
  /// over.
  void leave(request_id id);
  /// The next one that may go on, if the lane is free.
  auto take_next() -> std::optional<request_id>;
  /// Those that have waited for their time; they are no longer here.
  auto take_expired(TimePoint now) -> std::vector<request_id>;
  /// When take_expired() may next give something.
  [[nodiscard]] auto next_expiry() const -> std::optional<TimePoint>;

  [[nodiscard]] auto is_free() const -> bool { return !this->holder; }
  [[nodiscard]] auto waiting() const -> std::size_t { return this->queue.size(); }

 private:
  struct waiter {
    request_id id;
    TimePoint give_up;
  };
  std::optional<request_id> holder;
  std::deque<waiter> queue;
};

}  // namespace ramppond
