// The attempts at a forwarded request, one after the other: choice of a server, end, retry.
#include "core/crash_evidence/request_digest.h"
#include "core/retries/retry_reserve.h"
#include "core/retries/server_wait.h"
#include "daemon/proxy/forwarded_request.h"

namespace ramppond {
namespace {

// A peer confirms or refuses within the time that a request may wait there and this much more, for
// the way and for its work. With less, peers that are only busy would count as unreachable; with
// more, a request waits longer for one that stands still.
constexpr Duration kAdmissionMargin = milliseconds(250);

}  // namespace

// Retries send the same body, so it is made once.
void ForwardedRequest::makeDigest() {
  if (!digest_.empty()) {
    return;
  }
  const HttpHead& head = exchange_->request();
  const std::string_view caller =
      terms_.tenant == nullptr ? std::string_view() : terms_.tenant->name;
  digest_ =
      format_digest(digest_of({head.method, head.get("Host"), head.target, caller, body_.bytes()}));
}

void ForwardedRequest::attempt() {
  const TimePoint now = EventLoop::now();
  KnownInstance* const instance =
      context_.directory.choose(terms_.service, terms_.route->name, history_.tried, now);
  const std::size_t attempts = history_.tried.size();
  if (instance == nullptr &&
      may_wait_for_server(attempts, now - terms_.received, terms_.route->goal, timeLeft())) {
    state_ = State::kWaitingForServer;
    wait_timer_.after(server_wait_interval, [this] { attempt(); });
    return;
  }
  if (instance == nullptr || !may_attempt(attempts, timeLeft())) {
    answerOwn(answer_without_server(history_.may_have_run));
    return;
  }
  begin(*instance, now);
}

void ForwardedRequest::begin(KnownInstance& instance, TimePoint now) {
  state_ = State::kAttempting;
  makeDigest();
  history_.tried.insert(instance.record.proxy_address);
  context_.counters.attempts += 1;
  HttpHead head =
      head_for_peer({exchange_->request(), terms_, history_, instance, digest_,
                     context_.api.headers().deadline_ms, now - terms_.received, timeLeft()});
  context_.directory.onSent(instance, now);
  context_.under_way.insert(this);
  attempt_.emplace(context_.loop, instance);
  attempt_->send(context_.peers.to(instance.record.proxy_address), std::move(head), body_,
                 terms_.may_run_twice(), shared_from_this());
  if (body_.is_streamed()) {
    body_.release();
  }
  if (attempt_->is_held_back()) {
    attempt_->confirm_timer.after(terms_.patience() + kAdmissionMargin,
                                  [this] { onNotAdmitted(); });
  }
}

void ForwardedRequest::onInterim(int /*status*/) {
  if (attempt_ && attempt_->is_held_back()) {
    attempt_->confirm();
  }
}

// The peer neither has room nor refuses: it is gone or stands still.
void ForwardedRequest::onNotAdmitted() {
  if (!attempt_ || !attempt_->is_held_back()) {
    return;
  }
  const auto self = shared_from_this();
  context_.directory.onUnreachable(attempt_->instance, EventLoop::now());
  attempt_->upstream->cancel();
  afterFailure(attempt_failure::not_admitted);
}

void ForwardedRequest::endAttempt() {
  if (!attempt_) {
    return;
  }
  context_.under_way.erase(this);
  context_.directory.onEnded(attempt_->instance);
  attempt_.reset();
}

retry_verdict ForwardedRequest::judgeRetry(attempt_end end, std::uint32_t arrivals) const {
  ended_attempt ended;
  ended.end = end;
  ended.may_run_twice = terms_.may_run_twice();
  ended.body_buffered = !body_.is_streamed();
  ended.attempts = history_.tried.size();
  ended.arrivals = arrivals;
  ended.max_arrivals = terms_.route->max_attempts;
  ended.lost_runs = history_.lost_runs;
  ended.time_left = timeLeft();
  return decide_retry(ended);
}

bool ForwardedRequest::payForRetry() {
  const budget_reserve reserve = reserve_of(terms_.is_call, terms_.attributed.remaining_calls);
  const budget_draw draw = {context_.random.uniform()};
  const bool paid = context_.budgets.of(terms_.service).take(EventLoop::now(), reserve, draw);
  if (paid) {
    context_.counters.retries += 1;
  } else {
    context_.counters.retries_unpaid += 1;
  }
  return paid;
}

bool ForwardedRequest::obtainRetry(const retry_verdict& verdict) {
  if (std::holds_alternative<retry_from_budget>(verdict)) {
    return payForRetry();
  }
  return std::holds_alternative<retry_without_budget>(verdict);
}

void ForwardedRequest::retry(const std::string& reason) {
  const TimePoint now = EventLoop::now();
  if (context_.retry_log.allow(now.count())) {
    logEvent(now.count(), context_.retry_log.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"digest", digest_},
              {"service", terms_.service},
              {"after", reason}});
  }
  attempt();
}

void ForwardedRequest::onPeerSilent(const KnownInstance& instance) {
  const bool waits_there = state_ == State::kAttempting && &attempt_->instance == &instance;
  if (!waits_there || attempt_->has<held_answer>()) {
    return;
  }
  if (attempt_->is_held_back()) {
    onNotAdmitted();
    return;
  }
  const attempt_end end = end_of(attempt_failure::peer_silent, false);
  if (!obtainRetry(judgeRetry(end, history_.arrivals + 1))) {
    return;
  }
  attempt_->upstream->cancel();
  endAttempt();
  history_.note(end);
  retry(std::string(text_of(attempt_failure::peer_silent)));
}

void ForwardedRequest::afterFailure(attempt_failure failure) {
  const attempt_end end = end_of(failure, attempt_->is_held_back());
  afterAttempt(end, std::string(text_of(failure)));
}

void ForwardedRequest::afterAttempt(attempt_end end, const std::string& reason) {
  endAttempt();
  history_.note(end);
  if (obtainRetry(judgeRetry(end, history_.arrivals))) {
    context_.counters.retries_of_unknown += end == attempt_end::unknown ? 1 : 0;
    retry(reason);
    return;
  }
  answerOwn(answer_after_attempts({history_.may_have_run, history_.blocked_for, reason}));
}

}  // namespace ramppond
