// The answers that a proxy gives in place of a server to a request that began on its machine.
//
// A closed list with one table: status, what is promised about the request, Retry-After, counter
// and reason of each. Also the choice among them where it depends on what earlier attempts have
// left. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/time.h"

namespace ramppond {

enum class own_answer_kind : std::uint8_t {
  no_configuration,       ///< This proxy holds none.
  no_route,               ///< For its host and path.
  body_too_large,         ///< By the limit of the configuration.
  unknown_key,            ///< No key, or one that no tenant holds.
  keys_unverifiable,      ///< The lease on the keys has lapsed.
  beyond_tenant_limit,    ///< With the time after which the tenant may send again.
  downstream_overload,    ///< With the name of the overloaded service.
  deadline_not_run,       ///< It came before any attempt may have run.
  deadline_may_have_run,  ///< It came after that.
  no_server,              ///< None is known that was not tried, and no attempt has run.
  no_server_left,         ///< The same, and an attempt may have run.
  attempts_not_run,       ///< With the reason of the last attempt.
  attempts_blocked,       ///< With that reason and the time for which the block still holds.
  attempts_may_have_run,  ///< With that reason.
};
constexpr auto own_answer_kinds = std::size_t(14);

/// What an answer tells its caller about the request.
enum class run_promise : std::uint8_t {
  rejected,      ///< Not run, for the request itself: its route, size, key or tenant's limit.
  not_run,       ///< Provably not run; it may be sent again.
  may_have_run,  ///< Nothing is promised.
};

/// Where the time in Retry-After comes from.
enum class retry_after_source : std::uint8_t {
  none,  ///< The field is not sent.
  without_configuration,
  goal,  ///< Of the route.
  quota,
  block,
};

/// What an answer is counted as, beside the total of those that were not run or may have run.
enum class own_answer_counter : std::uint8_t {
  none,
  no_route,
  no_tenant,
  no_authority,
  beyond_limit,
  shed,
};

/// One row of the table.
struct own_answer_form {
  own_answer_kind kind;
  int status;
  run_promise promise;
  retry_after_source retry_after;
  own_answer_counter counter;
  std::string_view reason;  ///< Empty where the answer itself holds it.
};

/// The row of `kind`.
auto form_of(own_answer_kind kind) -> const own_answer_form&;

/// An answer with what its kind needs beside the table. Made by the functions below.
struct own_answer {
  own_answer_kind kind;
  /// downstream_overload: the service; attempts_*: the reason of the last attempt.
  std::string detail = {};
  /// beyond_tenant_limit, attempts_blocked: the time that Retry-After tells.
  Duration stated_time{0};
};

/// What the attempts at a request have left.
struct ended_attempts {
  bool may_have_run = false;  ///< At least one of them.
  std::optional<Duration> blocked_for = std::nullopt;
  std::string last_reason = {};
};

auto answer_beyond_tenant_limit(Duration retry_after) -> own_answer;
auto answer_downstream_overload(std::string service) -> own_answer;
/// No further attempt follows.
auto answer_after_attempts(const ended_attempts& ended) -> own_answer;
/// No server is left to try.
auto answer_without_server(bool may_have_run) -> own_answer;
/// `may_have_run`: some attempt may have, the one under way at the deadline included.
auto answer_at_deadline(bool may_have_run) -> own_answer;

/// The text of the answer and of its log line.
auto reason_of(const own_answer& answer) -> std::string;

struct no_retry_after {};
/// Tells this time.
struct exact_retry_after {
  Duration time;
};
/// Tells a time that is to be drawn by add_retry_after_jitter().
struct jittered_retry_after {
  Duration least;
};
using retry_after_verdict = std::variant<no_retry_after, exact_retry_after, jittered_retry_after>;

/// `goal`: of the request's route; not looked at where no route is known.
auto retry_after_of(const own_answer& answer, Duration goal) -> retry_after_verdict;

}  // namespace ramppond
