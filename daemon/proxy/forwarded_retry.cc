// The attempts at a forwarded request: server selection, the end of an attempt, retries.
#include "core/crash_evidence/request_digest.h"
#include "core/retries/retry_reserve.h"
#include "core/retries/server_wait.h"
#include "daemon/proxy/forwarded_request.h"

namespace ramppond {
namespace {

// A peer confirms or refuses a request within the request's maximum queueing time plus this margin
// for transmission and processing. With a smaller margin, busy peers would count as unreachable;
// with a larger one, a request waits longer for a peer that hangs.
constexpr Duration kAdmissionMargin = milliseconds(250);

}  // namespace

// Computed once: retries send the same body.
void ForwardedRequest::computeDigest() {
  if (!digest_.empty()) {
    return;
  }
  const HttpHead& head = exchange_->request();
  const std::string_view caller =
      params_.tenant == nullptr ? std::string_view() : params_.tenant->name;
  digest_ =
      format_digest(digest_of({head.method, head.get("Host"), head.target, caller, body_.bytes()}));
}

void ForwardedRequest::attempt() {
  const TimePoint now = EventLoop::now();
  if (!mayPassOn()) {
    answerOwn(answer_while_stopping(history_.may_have_run));
    return;
  }
  KnownInstance* const instance = context_.directory.choose(params_.service, params_.route->name,
                                                            history_.tried_addresses, now);
  const std::size_t attempts = history_.tried_addresses.size();
  if (instance == nullptr &&
      may_wait_for_server(attempts, now - params_.received, params_.route->goal, timeLeft())) {
    state_ = State::kWaitingForServer;
    wait_timer_.after(server_wait_interval, [this] { attempt(); });
    return;
  }
  if (instance == nullptr || !may_attempt(attempts, timeLeft())) {
    answerOwn(answer_without_server(history_.may_have_run));
    return;
  }
  startAttempt(*instance, now);
}

void ForwardedRequest::startAttempt(KnownInstance& instance, TimePoint now) {
  state_ = State::kAttempting;
  computeDigest();
  history_.tried_addresses.insert(instance.record.proxy_address);
  context_.counters.attempts += 1;
  HttpHead head =
      head_for_peer({exchange_->request(), params_, history_, instance, digest_,
                     context_.api.headers().deadline_ms, now - params_.received, timeLeft()});
  context_.directory.onSent(instance, now);
  context_.placement_queries.on_sent(instance);
  context_.attempting.insert(this);
  attempt_.emplace(context_.loop, instance);
  attempt_->send(context_.peers.pool_for(instance.record.proxy_address), std::move(head), body_,
                 params_.may_run_twice(), shared_from_this());
  if (body_.is_streamed()) {
    body_.release_buffer();
  }
  if (attempt_->awaits_confirmation()) {
    attempt_->confirm_timer.after(params_.patience() + kAdmissionMargin,
                                  [this] { onAdmissionTimeout(); });
  }
}

void ForwardedRequest::onInterim(int /*status*/) {
  if (!attempt_ || !attempt_->awaits_confirmation()) {
    return;
  }
  if (mayPassOn()) {
    attempt_->confirm();
    return;
  }
  const auto self = shared_from_this();
  answerOwn(answer_while_stopping(history_.may_have_run));
}

// The peer neither confirmed nor refused in time: it is gone or hangs.
void ForwardedRequest::onAdmissionTimeout() {
  if (!attempt_ || !attempt_->awaits_confirmation()) {
    return;
  }
  const auto self = shared_from_this();
  context_.directory.onUnreachable(attempt_->instance, EventLoop::now());
  attempt_->upstream->cancel();
  onAttemptFailed(attempt_failure::not_admitted);
}

void ForwardedRequest::endAttempt() {
  if (!attempt_) {
    return;
  }
  context_.attempting.erase(this);
  context_.directory.onEnded(attempt_->instance);
  attempt_.reset();
}

retry_verdict ForwardedRequest::judgeRetry(attempt_end end, std::uint32_t arrivals) const {
  ended_attempt ended;
  ended.end = end;
  ended.may_run_twice = params_.may_run_twice();
  ended.body_buffered = !body_.is_streamed();
  ended.attempts = history_.tried_addresses.size();
  ended.arrivals = arrivals;
  ended.max_arrivals = params_.route->max_attempts;
  ended.lost_runs = history_.lost_runs;
  ended.time_left = timeLeft();
  ended.may_pass_on = mayPassOn();
  return decide_retry(ended);
}

bool ForwardedRequest::spendRetryBudget(attempt_end end) {
  const bool has_not_run = end == attempt_end::not_run && !history_.may_have_run;
  const ordered_retry requested = ordered_retry_of(params_, has_not_run);
  const bool order_is_active = context_.features.retry_order;
  const budget_reserve reserve = reserve_for(requested, order_is_active);
  const budget_draw draw = {context_.random.uniform()};
  const bool paid = context_.budgets.of(params_.service).take(EventLoop::now(), reserve, draw);
  if (paid) {
    context_.counters.retries += 1;
  } else {
    context_.counters.retries_unpaid += 1;
  }
  if (order_is_active) {
    context_.ordered_retries.record(class_of(requested), paid);
  }
  return paid;
}

bool ForwardedRequest::authorizeRetry(const retry_verdict& verdict, attempt_end end) {
  if (std::holds_alternative<retry_from_budget>(verdict)) {
    return spendRetryBudget(end);
  }
  return std::holds_alternative<retry_without_budget>(verdict);
}

void ForwardedRequest::retry(const std::string& reason) {
  const TimePoint now = EventLoop::now();
  if (context_.retry_log.allow(now.count())) {
    logEvent(now.count(), context_.retry_log.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"digest", digest_},
              {"service", params_.service},
              {"after", reason}});
  }
  attempt();
}

void ForwardedRequest::onPeerSilent(const KnownInstance& instance) {
  const bool waits_there = state_ == State::kAttempting && &attempt_->instance == &instance;
  if (!waits_there || attempt_->has<buffered_answer>()) {
    return;
  }
  if (attempt_->awaits_confirmation()) {
    onAdmissionTimeout();
    return;
  }
  const attempt_end end = end_of(attempt_failure::peer_silent, false);
  if (!authorizeRetry(judgeRetry(end, history_.arrivals + 1), end)) {
    return;
  }
  attempt_->upstream->cancel();
  endAttempt();
  history_.record(end);
  retry(std::string(text_of(attempt_failure::peer_silent)));
}

void ForwardedRequest::onAttemptFailed(attempt_failure failure) {
  const attempt_end end = end_of(failure, attempt_->awaits_confirmation());
  onAttemptEnded(end, std::string(text_of(failure)));
}

void ForwardedRequest::onAttemptEnded(attempt_end end, const std::string& reason) {
  endAttempt();
  history_.record(end);
  if (authorizeRetry(judgeRetry(end, history_.arrivals), end)) {
    context_.counters.retries_of_unknown += end == attempt_end::unknown ? 1 : 0;
    retry(reason);
    return;
  }
  answerOwn(answer_after_attempts({history_.may_have_run, history_.blocked_for, reason}));
}

}  // namespace ramppond
