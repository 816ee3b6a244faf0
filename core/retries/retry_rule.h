// Decides whether a request may be attempted again after an attempt that ended without an answer of
// a server.
//
// The caller takes the retry from the budget (core/retries/retry_budget.h) where the verdict
// requires it and leaves the reserve of core/retries/retry_reserve.h. Stateless.
#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "core/retries/attempt_end.h"
#include "core/time.h"

namespace ramppond {

/// Maximum number of attempts at one request, whether or not a server received it. Each takes a
/// connection and may wait for up to the patience of the request. With more attempts a request
/// spends its time at full servers; with fewer it fails while servers in another zone have free
/// slots.
constexpr auto max_attempts_at_request = std::size_t(6);

/// No attempt begins with less time left. A round trip between proxies and the shortest work take
/// longer, so the server would work in vain.
constexpr auto min_time_for_attempt = Duration(milliseconds(10));

/// A request is not retried after this many servers were lost while it ran there, since it more
/// likely caused the crashes than not. With fewer, a request that merely ran at the same time as
/// one that crashes servers would fail.
constexpr auto max_lost_runs = std::uint32_t(2);

/// The state of a request after an attempt.
struct ended_attempt {
  attempt_end end = attempt_end::unknown;
  bool may_run_twice = false;      ///< Whether the kind of its route allows a second run.
  bool body_buffered = true;       ///< Whether the complete body is buffered for another send.
  std::size_t attempts = 0;        ///< Attempts so far, including this one.
  std::uint32_t arrivals = 0;      ///< Attempts that a server received, including this one.
  std::uint32_t max_arrivals = 1;  ///< Maximum of its route.
  std::uint32_t lost_runs = 0;     ///< Servers that were lost while it ran there.
  Duration time_left{0};           ///< Until its deadline.
  bool may_pass_on = true;         ///< False if this proxy ends before another attempt could.
};

enum class retry_denial : std::uint8_t {
  stopping,  ///< This proxy ends before another attempt could.
  body_not_buffered,
  too_many_attempts,
  no_time_left,
  blocked,
  too_many_lost_runs,
  may_have_run,  ///< The request may have run and must not run twice.
  too_many_arrivals,
};

struct retry_denied {
  retry_denial reason;
};
/// Another attempt follows. No server received the request, so it adds no load.
struct retry_without_budget {};
/// Another attempt follows if the retry budget grants it.
struct retry_from_budget {};

using retry_verdict = std::variant<retry_denied, retry_without_budget, retry_from_budget>;

/// Returns whether another attempt may follow. If several denials apply, the reason is the first in
/// the order of retry_denial.
auto decide_retry(const ended_attempt& ended) -> retry_verdict;

/// Returns whether an attempt may begin after `attempts` with `time_left` until the deadline.
auto may_attempt(std::size_t attempts, Duration time_left) -> bool;

}  // namespace ramppond
