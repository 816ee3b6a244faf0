// What comes back to a forwarded request: the answer of its server, or one of the daemons.
#include <algorithm>

#include "core/answers/retry_after.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Answers up to this size leave when they are whole, so that one that breaks off can be repeated.
constexpr std::size_t kHeldAnswerBytes = 49152;

std::uint64_t* counterOf(own_answer_counter counter, ProxyCounters& counters) {
  switch (counter) {
    case own_answer_counter::none:
      return nullptr;
    case own_answer_counter::no_route:
      return &counters.no_route;
    case own_answer_counter::no_tenant:
      return &counters.no_tenant;
    case own_answer_counter::no_authority:
      return &counters.no_authority;
    case own_answer_counter::beyond_limit:
      return &counters.beyond_limit;
    case own_answer_counter::shed:
      return &counters.shed;
  }
  return nullptr;
}

void countOwnAnswer(const own_answer_form& form, ProxyCounters& counters) {
  std::uint64_t* const counter = counterOf(form.counter, counters);
  if (counter != nullptr) {
    *counter += 1;
  }
  counters.refused += form.promise == run_promise::not_run ? 1 : 0;
  counters.failed += form.promise == run_promise::may_have_run ? 1 : 0;
}

}  // namespace

// Whether the peer daemon itself made this answer, and what it says of the request.
void ForwardedRequest::readOutcome(const HttpHead& head) {
  const std::string* outcome = head.find(kPeerOutcome);
  own_answer_ = outcome != nullptr;
  if (!own_answer_) {
    return;
  }
  const std::size_t end = std::min(outcome->find(';'), outcome->size());
  const std::string_view kind = std::string_view(*outcome).substr(0, end);
  own_answer_reason_ = *outcome;
  if (kind == kOutcomeBusy) {
    own_answer_end_ = attempt_end::not_sent;
    context_.directory.onRefused(*instance_, EventLoop::now());
  } else if (kind == kOutcomeFenced) {
    own_answer_end_ = attempt_end::not_sent;
    context_.directory.onFenced(*instance_, EventLoop::now());
  } else if (kind == kOutcomeElsewhere) {
    own_answer_end_ = attempt_end::not_sent;
  } else if (kind == kOutcomeBarred) {
    own_answer_end_ = attempt_end::blocked;
    blocked_for_ = parseMilliseconds(head.find(kPeerBarredMs));
  } else if (kind == kOutcomeNotRun) {
    own_answer_end_ = attempt_end::not_run;
  } else {
    own_answer_end_ = attempt_end::unknown;
    lost_runs_ += 1;
  }
}

void ForwardedRequest::noteLoad(const HttpHead& head) {
  const TimePoint now = EventLoop::now();
  const auto load = parseLoad(head.find(kPeerLoad));
  if (!load) {
    return;
  }
  context_.directory.onLoad(*instance_, route_->name, *load, now);
  auto levels = parseOverload(head.find(kPeerOverload));
  levels = strictest(std::move(levels), {{service_, load->shed}});
  context_.overload.on_answer(route_->name, levels, now);
}

void ForwardedRequest::onResponseHead(HttpHead head) {
  if (over_ || instance_ == nullptr) {
    return;
  }
  context_.directory.onReached(*instance_, EventLoop::now());
  noteLoad(head);
  readOutcome(head);
  if (heldBack() && upstream_ != nullptr) {
    upstream_->finishBody();  // Refused: the connection can be used again.
  }
  if (own_answer_) {
    return;
  }
  head.removeHopByHop();
  removePeerHeaders(head);
  answer_head_ = std::move(head);
  answer_held_ = true;
}

void ForwardedRequest::onResponseBody(std::string_view data) {
  if (over_ || own_answer_) {
    return;
  }
  if (answer_held_) {
    answer_body_.append(data);
    if (answer_body_.size() > kHeldAnswerBytes) {
      releaseAnswer();
    }
    return;
  }
  exchange_->sendBody(data);
  if (exchange_->congested() && upstream_ != nullptr) {
    upstream_->pauseResponse();
  }
}

void ForwardedRequest::releaseAnswer() {
  answer_held_ = false;
  exchange_->sendHead(answer_head_, framingOf(answer_head_));
  exchange_->sendBody(answer_body_);
  answer_body_.clear();
  answer_body_.shrink_to_fit();
}

void ForwardedRequest::onResponseDrained() {
  if (upstream_ != nullptr) {
    upstream_->resumeResponse();
  }
}

void ForwardedRequest::onResponseEnd() {
  if (over_) {
    return;
  }
  const auto self = shared_from_this();
  if (own_answer_) {
    afterAttempt(own_answer_end_, own_answer_reason_);
    return;
  }
  context_.counters.answered += 1;
  if (answer_head_.status >= kServerError) {
    context_.last_failed_forward = EventLoop::now();
  }
  if (answer_held_) {
    releaseAnswer();
  }
  finish();
}

void ForwardedRequest::finish() {
  over_ = true;
  deadline_timer_.cancel();
  endAttempt();
  exchange_->finish();
}

void ForwardedRequest::onRequestFailed(ClientFailure failure) {
  if (over_) {
    return;
  }
  const auto self = shared_from_this();
  if (exchange_->headSent()) {
    context_.counters.broken_off += 1;
    over_ = true;
    deadline_timer_.cancel();
    endAttempt();
    exchange_->breakOff();
    return;
  }
  if (failure == ClientFailure::kNoSocket) {
    afterFailure(attempt_failure::no_socket, heldBack());
    return;
  }
  const bool not_connected =
      failure == ClientFailure::kNotConnected || failure == ClientFailure::kRefused;
  const bool held_back = heldBack();
  if (not_connected || failure == ClientFailure::kNoAnswer) {
    context_.directory.onUnreachable(*instance_, EventLoop::now());
  }
  if (not_connected) {
    afterFailure(attempt_failure::not_connected, held_back);
    return;
  }
  afterFailure(attempt_failure::connection_lost, held_back);
}

std::optional<Duration> ForwardedRequest::retryAfter(const own_answer& answer) {
  const Duration goal = route_ == nullptr ? Duration(0) : route_->goal;
  const retry_after_verdict verdict = retry_after_of(answer, goal);
  if (const auto* stated = std::get_if<stated_retry_after>(&verdict)) {
    return stated->time;
  }
  if (const auto* drawn = std::get_if<spread_from>(&verdict)) {
    return spread_retry_after(drawn->least, {context_.random.uniform()});
  }
  return std::nullopt;
}

void ForwardedRequest::logOwnAnswer(int status, const std::string& reason,
                                    const std::string& last_peer) {
  const TimePoint now = EventLoop::now();
  if (!context_.own_answers.allow(now.count())) {
    return;
  }
  logEvent(now.count(), context_.own_answers.event(),
           {{"request", exchange_->request().get(context_.api.headers().request_id)},
            {"digest", digest_},
            {"status", std::to_string(status)},
            {"reason", reason},
            {"route", route_ == nullptr ? "" : route_->name},
            {"service", service_},
            {"tenant", tenant_ == nullptr ? "" : tenant_->name},
            {"held_us", std::to_string((now - received_).count())},
            {"left_us", std::to_string((deadline_ - now).count())},
            {"attempts", std::to_string(tried_.size())},
            {"arrivals", std::to_string(arrivals_)},
            {"peer", last_peer}});
}

void ForwardedRequest::answerOwn(const own_answer& answer) {
  const std::optional<Duration> retry_after = retryAfter(answer);
  over_ = true;
  wait_timer_.cancel();
  deadline_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  const std::string last = instance_ == nullptr ? std::string() : instance_->record.daemon_address;
  endAttempt();
  const own_answer_form& form = form_of(answer.kind);
  logOwnAnswer(form.status, reason_of(answer), last);
  noteOwnAnswer(form);
  respondOwn(answer, retry_after);
}

void ForwardedRequest::noteOwnAnswer(const own_answer_form& form) {
  const TimePoint now = EventLoop::now();
  countOwnAnswer(form, context_.counters);
  if (form.promise != run_promise::rejected) {
    context_.last_failed_forward = now;
  }
  if (counted_by_quota_ && form.promise == run_promise::not_run) {
    context_.quotas.on_not_run(tenant_->name, now);
  }
}

void ForwardedRequest::respondOwn(const own_answer& answer, std::optional<Duration> retry_after) {
  HttpHead head;
  head.status = form_of(answer.kind).status;
  const std::string& id_header = context_.api.headers().request_id;
  const std::string* id = exchange_->request().find(id_header);
  if (id != nullptr) {
    head.fields.push_back({id_header, *id});
  }
  if (retry_after) {
    head.fields.push_back({"Retry-After", format_retry_after(*retry_after)});
  }
  if (head.status == kUnauthorized) {
    head.fields.push_back({"WWW-Authenticate", "Bearer"});
  }
  head.fields.push_back({"Content-Type", "text/plain"});
  exchange_->respond(std::move(head), reason_of(answer) + "\n");
}

}  // namespace ramppond
