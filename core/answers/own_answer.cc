#include "core/answers/own_answer.h"

#include <array>

#include "core/answers/retry_after.h"

namespace ramppond {
namespace {

using kind = own_answer_kind;
using promise = run_promise;
using source = retry_after_source;
using counter = own_answer_counter;

// In the order of own_answer_kind.
constexpr std::array<own_answer_form, own_answer_kinds> table = {{
    {kind::no_configuration, 503, promise::not_run, source::without_configuration, counter::none,
     "no configuration"},
    {kind::no_route, 404, promise::rejected, source::none, counter::no_route, "no route"},
    {kind::body_too_large, 413, promise::rejected, source::none, counter::none, "body too large"},
    {kind::unknown_key, 401, promise::rejected, source::none, counter::no_tenant,
     "no tenant holds this key"},
    {kind::keys_unverifiable, 503, promise::not_run, source::goal, counter::no_authority,
     "keys cannot be judged now"},
    {kind::beyond_tenant_limit, 429, promise::rejected, source::quota, counter::beyond_limit,
     "beyond the tenant's limit"},
    {kind::downstream_overload, 503, promise::not_run, source::goal, counter::shed, ""},
    {kind::deadline_not_run, 503, promise::not_run, source::goal, counter::none, "deadline"},
    {kind::deadline_may_have_run, 504, promise::may_have_run, source::none, counter::none,
     "deadline"},
    {kind::no_server, 503, promise::not_run, source::goal, counter::none, "no server"},
    {kind::no_server_left, 502, promise::may_have_run, source::none, counter::none,
     "no server left"},
    {kind::attempts_not_run, 503, promise::not_run, source::goal, counter::none, ""},
    {kind::attempts_blocked, 503, promise::not_run, source::block, counter::none, ""},
    {kind::attempts_may_have_run, 502, promise::may_have_run, source::none, counter::none, ""},
    {kind::stopping, 503, promise::not_run, source::goal, counter::none, "stopping"},
}};

constexpr auto overload_text = std::string_view("overload of ");

}  // namespace

auto form_of(own_answer_kind kind) -> const own_answer_form& {
  return table.at(static_cast<std::size_t>(kind));
}

auto answer_beyond_tenant_limit(Duration retry_after) -> own_answer {
  return {kind::beyond_tenant_limit, {}, retry_after};
}

auto answer_downstream_overload(std::string service) -> own_answer {
  return {kind::downstream_overload, std::move(service)};
}

auto answer_after_attempts(const ended_attempts& ended) -> own_answer {
  if (ended.may_have_run) {
    return {kind::attempts_may_have_run, ended.last_reason};
  }
  if (ended.blocked_for) {
    return {kind::attempts_blocked, ended.last_reason, *ended.blocked_for};
  }
  return {kind::attempts_not_run, ended.last_reason};
}

auto answer_without_server(bool may_have_run) -> own_answer {
  return {may_have_run ? kind::no_server_left : kind::no_server};
}

auto answer_while_stopping(bool may_have_run) -> own_answer {
  return {may_have_run ? kind::no_server_left : kind::stopping};
}

auto answer_at_deadline(bool may_have_run) -> own_answer {
  return {may_have_run ? kind::deadline_may_have_run : kind::deadline_not_run};
}

auto reason_of(const own_answer& answer) -> std::string {
  switch (answer.kind) {
    case kind::downstream_overload:
      return std::string(overload_text) + answer.detail;
    case kind::attempts_not_run:
    case kind::attempts_blocked:
    case kind::attempts_may_have_run:
      return answer.detail;
    default:
      return std::string(form_of(answer.kind).reason);
  }
}

auto retry_after_of(const own_answer& answer, Duration goal) -> retry_after_verdict {
  switch (form_of(answer.kind).retry_after) {
    case source::none:
      return no_retry_after{};
    case source::without_configuration:
      return jittered_retry_after{retry_after_without_configuration};
    case source::goal:
      return jittered_retry_after{min_retry_after_for(goal)};
    case source::quota:
    case source::block:
      return exact_retry_after{answer.stated_time};
  }
  return no_retry_after{};
}

}  // namespace ramppond
