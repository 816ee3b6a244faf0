// Tracks the rate limit that the server beside a proxy currently names in its answers.
//
// Input: the limit in each answer of the server, with the times at which its request was dispatched
// and the answer arrived (microseconds), and the limit that peers learned before this proxy had an
// answer. Output: the limit in effect. Owns the limit and the time at which it was last named. No
// I/O; not thread safe.
//
// Answers may arrive out of order, since requests take different times. An answer was certainly
// generated after another one only if its request was dispatched after the other answer arrived. A
// lower limit is accepted from any answer, since too few requests do less harm than too many. A
// higher limit or the removal of the limit is accepted only from an answer that was certainly
// generated later.
#pragma once

#include <optional>

#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

class effective_limit {
 public:
  /// Processes the limit in an answer to a request that was dispatched at `dispatched`. Returns
  /// whether the limit in effect has changed. An unreadable limit is ignored.
  auto on_answer(const named_limit& named, TimePoint dispatched, TimePoint now) -> bool;

  /// Processes a limit that a peer learned from an answer of the server. It takes effect only if
  /// this proxy has received no answer yet, for example after its restart. Returns whether the
  /// limit in effect has changed.
  auto on_peer_report(request_rate reported, TimePoint now) -> bool;

  [[nodiscard]] auto rate() const -> std::optional<request_rate> { return this->limit; }
  /// Time since the limit was last named; 0 without a limit.
  [[nodiscard]] auto age(TimePoint now) const -> Duration;

 private:
  auto take(request_rate rate, TimePoint dispatched, TimePoint now) -> bool;
  auto lift(TimePoint dispatched, TimePoint now) -> bool;

  std::optional<request_rate> limit;
  TimePoint named{0};       // arrival of the last answer that named the limit
  bool has_answer = false;  // whether an answer of the server has arrived
};

}  // namespace ramppond
