// The attempts of a forwarded request: choice of a server, sending, repeating.
#include <algorithm>

#include "core/admission/patience.h"
#include "core/crash_evidence/request_digest.h"
#include "core/retries/retry_reserve.h"
#include "core/retries/server_wait.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

// A peer answers within the time that a request may wait there and a round trip.
constexpr Duration kAdmissionMargin = milliseconds(250);

}  // namespace

// Repeats hold the same body, so it is made once.
void ForwardedRequest::makeDigest() {
  if (!digest_.empty()) {
    return;
  }
  const HttpHead& head = exchange_->request();
  const std::string_view caller = tenant_ == nullptr ? std::string_view() : tenant_->name;
  digest_ = format_digest(digest_of({head.method, head.get("Host"), head.target, caller, body_}));
}

void ForwardedRequest::attempt() {
  const TimePoint now = EventLoop::now();
  instance_ = context_.directory.choose(service_, route_->name, tried_, now);
  if (instance_ == nullptr &&
      may_wait_for_server(tried_.size(), now - received_, route_->goal, timeLeft())) {
    wait_timer_.after(server_wait_interval, [this] { attempt(); });
    return;
  }
  if (instance_ == nullptr || !may_attempt(tried_.size(), timeLeft())) {
    instance_ = nullptr;
    answerOwn(answer_without_server(run_possible_));
    return;
  }
  makeDigest();
  tried_.insert(instance_->record.daemon_address);
  context_.counters.attempts += 1;
  own_answer_ = false;
  HttpHead head = exchange_->request();
  const Duration patience = patience_of(route_->goal, is_call_) - (now - received_);
  head.set(context_.api.headers().deadline_ms, formatMilliseconds(timeLeft()));
  head.fields.push_back({std::string(kPeerInstance), instance_->record.instance_id});
  head.fields.push_back({std::string(kPeerService), service_});
  head.fields.push_back({std::string(kPeerRoute), route_->name});
  head.fields.push_back({std::string(kPeerDigest), digest_});
  head.fields.push_back({std::string(kPeerPriority), std::to_string(rank_)});
  head.fields.push_back({std::string(kPeerPatienceMs), formatMilliseconds(patience)});
  if (is_call_) {
    head.fields.push_back({std::string(kPeerCall), "1"});
  }
  if (isRepeatable(route_->kind)) {
    head.fields.push_back({std::string(kPeerRepeatable), "1"});
  }
  if (lost_runs_ > 0) {
    head.fields.push_back({std::string(kPeerSuspect), "1"});
  }
  if (run_possible_ || attributed_.of_repeat) {
    head.fields.push_back({std::string(kPeerRepeat), "1"});
  }
  context_.directory.onSent(*instance_, now);
  context_.under_way.insert(this);
  send(std::move(head));
}

// What may not be repeated is not complete at the peer before there is room for it there: whatever
// happens until then, it has not run and may go elsewhere.
void ForwardedRequest::send(HttpHead head) {
  HttpClientPool& peer = context_.peer(instance_->record.daemon_address);
  confirms_ = !isRepeatable(route_->kind) && body_ended_;
  confirmed_ = false;
  if (!confirms_) {
    upstream_ = peer.start(head, framingOf(head), body_, body_ended_, shared_from_this());
    releaseStreamedBody();
    return;
  }
  head.fields.push_back(
      {std::string(kPeerConfirm), formatBodyForm({body_.size(), framingOf(head)})});
  head.content_length.reset();
  head.chunked = true;
  upstream_ = peer.start(head, BodyFraming::kChunked, body_, false, shared_from_this());
  releaseStreamedBody();
  const Duration patience = patience_of(route_->goal, is_call_);
  confirm_timer_.after(patience + kAdmissionMargin, [this] { onNotAdmitted(); });
}

// No further attempt sends what is streamed; what has come of it so far has been handed over.
void ForwardedRequest::releaseStreamedBody() {
  if (body_streamed_) {
    body_.clear();
    body_.shrink_to_fit();
  }
}

void ForwardedRequest::onInterim(int /*status*/) {
  if (over_ || !heldBack() || upstream_ == nullptr) {
    return;
  }
  confirmed_ = true;
  confirm_timer_.cancel();
  upstream_->finishBody();
}

// The peer neither has room nor refuses: it is gone or stands still.
void ForwardedRequest::onNotAdmitted() {
  if (over_ || !heldBack() || upstream_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  context_.directory.onUnreachable(*instance_, EventLoop::now());
  upstream_->cancel();
  afterFailure(attempt_failure::not_admitted, true);
}

void ForwardedRequest::endAttempt() {
  context_.under_way.erase(this);
  confirm_timer_.cancel();
  confirms_ = false;
  if (instance_ != nullptr) {
    context_.directory.onEnded(*instance_);
    instance_ = nullptr;
  }
  upstream_.reset();
  answer_held_ = false;
  answer_body_.clear();
}

retry_verdict ForwardedRequest::judgeRetry(attempt_end end, std::uint32_t arrivals) const {
  ended_attempt ended;
  ended.end = end;
  ended.may_run_twice = isRepeatable(route_->kind);
  ended.body_held = !body_streamed_;
  ended.attempts = tried_.size();
  ended.arrivals = arrivals;
  ended.max_arrivals = route_->max_attempts;
  ended.lost_runs = lost_runs_;
  ended.time_left = timeLeft();
  return judge_retry(ended);
}

bool ForwardedRequest::payForRetry() {
  const budget_reserve reserve = reserve_of(is_call_, attributed_.calls_to_come);
  const budget_draw draw = {context_.random.uniform()};
  const bool paid = context_.budget(service_).take(EventLoop::now(), reserve, draw);
  if (paid) {
    context_.counters.repeats += 1;
  } else {
    context_.counters.repeats_unpaid += 1;
  }
  return paid;
}

bool ForwardedRequest::obtainRetry(const retry_verdict& verdict) {
  if (std::holds_alternative<retry_to_be_paid>(verdict)) {
    return payForRetry();
  }
  return std::holds_alternative<retry_free>(verdict);
}

void ForwardedRequest::noteAttempt(attempt_end end) {
  endAttempt();
  arrivals_ += was_received(end) ? 1 : 0;
  run_possible_ = run_possible_ || end == attempt_end::unknown;
}

void ForwardedRequest::repeat(const std::string& reason) {
  const TimePoint now = EventLoop::now();
  if (context_.repeats.allow(now.count())) {
    logEvent(now.count(), context_.repeats.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"digest", digest_},
              {"service", service_},
              {"after", reason}});
  }
  attempt();
}

void ForwardedRequest::onPeerSilent(const KnownInstance& instance) {
  const bool waits_there = !over_ && instance_ == &instance && upstream_ != nullptr;
  if (!waits_there || answer_held_ || exchange_->headSent()) {
    return;
  }
  if (heldBack()) {
    onNotAdmitted();
    return;
  }
  const attempt_end end = end_of(attempt_failure::peer_silent, false);
  if (!obtainRetry(judgeRetry(end, arrivals_ + 1))) {
    return;
  }
  upstream_->cancel();
  noteAttempt(end);
  repeat(std::string(text_of(attempt_failure::peer_silent)));
}

void ForwardedRequest::afterFailure(attempt_failure failure, bool held_back) {
  afterAttempt(end_of(failure, held_back), std::string(text_of(failure)));
}

void ForwardedRequest::afterAttempt(attempt_end end, const std::string& reason) {
  noteAttempt(end);
  if (obtainRetry(judgeRetry(end, arrivals_))) {
    context_.counters.repeats_of_unknown += end == attempt_end::unknown ? 1 : 0;
    repeat(reason);
    return;
  }
  answerOwn(answer_after_attempts({run_possible_, blocked_for_, reason}));
}

}  // namespace ramppond
