// Knows the limit of requests a second that the server beside a proxy names at present.
//
// Input: what each answer of the server names, with the times at which its request was dispatched
// and the answer came (microseconds), and what peers were told before this proxy had an answer.
// Output: the limit in force. Owns it, and when it was named last. Pure, not thread safe.
//
// Answers overtake each other: requests take different times, so an answer may have been made
// before one that has come already. One was certainly made later than another only if its request
// was dispatched after the other had come. A lower limit is taken from any answer, since too few
// requests do less harm than too many; a higher one, and the end of the limit, only from an answer
// that was certainly made later.
#pragma once

#include <optional>

#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

class effective_limit {
 public:
  /// An answer to a request that was dispatched at `dispatched` names this. Returns whether the
  /// limit has changed; one that can't be read changes nothing.
  auto on_answer(const named_limit& named, TimePoint dispatched, TimePoint now) -> bool;

  /// A peer was told this limit by an answer of the server. It holds if no answer has come here
  /// yet, which is so after a restart of this proxy. Returns whether the limit has changed.
  auto on_peer_report(request_rate told, TimePoint now) -> bool;

  [[nodiscard]] auto rate() const -> std::optional<request_rate> { return this->limit; }
  /// Time since the limit was named last; 0 without a limit.
  [[nodiscard]] auto age(TimePoint now) const -> Duration;

 private:
  auto take(request_rate rate, TimePoint dispatched, TimePoint now) -> bool;
  auto lift(TimePoint dispatched, TimePoint now) -> bool;

  std::optional<request_rate> limit;
  TimePoint named{0};       // when the answer that named the limit last came
  bool has_answer = false;  // an answer of the server has come
};

}  // namespace ramppond
