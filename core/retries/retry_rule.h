// Whether another attempt at a request may follow on one that ended without an answer of a server.
//
// Decides only. Whoever asks pays the budget for a retry that is to be paid for
// (core/retries/retry_budget.h), leaving what core/retries/retry_reserve.h says. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "core/retries/attempt_end.h"
#include "core/time.h"

namespace ramppond {

/// Attempts at one request, received by a server or not. Each takes a connection and up to a
/// patience of time: with more of them a request uses up its time at servers that are full, with
/// fewer it gives up while servers in another zone have room.
constexpr auto max_attempts_at_request = std::size_t(6);

/// No attempt begins with less time than this left: a round trip between proxies and the shortest
/// work would outlast it, and the server would work for nobody.
constexpr auto min_time_for_attempt = Duration(milliseconds(10));

/// A request that lost this many servers while it ran there more likely crashed them than stood by.
/// With fewer, a request that merely ran beside the one that crashes servers would be given up.
constexpr auto max_lost_runs = std::uint32_t(2);

/// A request after an attempt.
struct ended_attempt {
  attempt_end end = attempt_end::unknown;
  bool may_run_twice = false;      ///< By the kind of its route.
  bool body_buffered = true;       ///< All of its body is at hand to be sent again.
  std::size_t attempts = 0;        ///< Made so far, this one included.
  std::uint32_t arrivals = 0;      ///< Attempts that a server received, this one included.
  std::uint32_t max_arrivals = 1;  ///< Of its route.
  std::uint32_t lost_runs = 0;     ///< Servers that were lost while it ran there.
  Duration time_left{0};           ///< Until its deadline.
};

enum class retry_denial : std::uint8_t {
  body_not_buffered,
  too_many_attempts,
  no_time_left,
  blocked,
  too_many_lost_runs,
  may_have_run,  ///< And must not run twice.
  too_many_arrivals,
};

struct retry_denied {
  retry_denial reason;
};
/// No server received the request, so another attempt adds no load.
struct retry_without_budget {};
/// Another attempt follows if the budget pays for it.
struct retry_from_budget {};

using retry_verdict = std::variant<retry_denied, retry_without_budget, retry_from_budget>;

/// The first denial that applies, in the order of the list.
auto decide_retry(const ended_attempt& ended) -> retry_verdict;

/// Whether an attempt may begin at all, after `attempts` with `time_left` until the deadline.
auto may_attempt(std::size_t attempts, Duration time_left) -> bool;

}  // namespace ramppond
