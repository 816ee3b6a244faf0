#include "core/retries/retry_rule.h"

namespace ramppond {

auto may_attempt(std::size_t attempts, Duration time_left) -> bool {
  return attempts < max_attempts_at_request && time_left >= min_time_for_attempt;
}

auto decide_retry(const ended_attempt& ended) -> retry_verdict {
  if (!ended.may_pass_on) {
    return retry_denied{retry_denial::stopping};
  }
  if (!ended.body_buffered) {
    return retry_denied{retry_denial::body_not_buffered};
  }
  if (ended.attempts >= max_attempts_at_request) {
    return retry_denied{retry_denial::too_many_attempts};
  }
  if (ended.time_left < min_time_for_attempt) {
    return retry_denied{retry_denial::no_time_left};
  }
  if (ended.end == attempt_end::blocked) {
    return retry_denied{retry_denial::blocked};
  }
  if (ended.lost_runs >= max_lost_runs) {
    return retry_denied{retry_denial::too_many_lost_runs};
  }
  if (ended.end == attempt_end::not_sent) {
    return retry_without_budget{};
  }
  if (ended.end == attempt_end::unknown && !ended.may_run_twice) {
    return retry_denied{retry_denial::may_have_run};
  }
  if (ended.arrivals >= ended.max_arrivals) {
    return retry_denied{retry_denial::too_many_arrivals};
  }
  return retry_from_budget{};
}

}  // namespace ramppond
