// What comes back to a forwarded request: the answer of its server, or one of the daemons.
#include <algorithm>

#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Answers up to this size leave when they are whole, so that one that breaks off can be repeated.
constexpr std::size_t kHeldAnswerBytes = 49152;
// Told to whoever is refused: a third to two thirds of the goal, drawn so that those refused
// together do not come back together.
constexpr std::int64_t kRetryAfterDivisor = 3;
constexpr Duration kLeastRetryAfter = milliseconds(100);
// Without a configuration there is no goal: about as long as the control group needs to elect.
constexpr Duration kRetryAfterWithoutConfiguration = milliseconds(400);

// Seconds with three decimals.
std::string formatSeconds(Duration time) {
  const std::int64_t thousandths = std::chrono::duration_cast<milliseconds>(time).count();
  std::string digits = std::to_string(thousandths % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return std::to_string(thousandths / 1000) + "." + digits;
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
    barred_for_ = parseMilliseconds(head.find(kPeerBarredMs));
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

Duration ForwardedRequest::retryAfter() {
  const Duration base = route_ == nullptr
                            ? kRetryAfterWithoutConfiguration
                            : std::max(route_->goal / kRetryAfterDivisor, kLeastRetryAfter);
  const double time = static_cast<double>(base.count()) * (1 + context_.random.uniform());
  return Duration(static_cast<std::int64_t>(time));
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

void ForwardedRequest::answerOwn(int status, const std::string& reason, bool retry_after) {
  answerOwn(status, reason, retry_after ? std::optional<Duration>(retryAfter()) : std::nullopt);
}

void ForwardedRequest::answerOwn(int status, const std::string& reason,
                                 std::optional<Duration> retry_after) {
  over_ = true;
  deadline_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  const std::string last = instance_ == nullptr ? std::string() : instance_->record.daemon_address;
  endAttempt();
  logOwnAnswer(status, reason, last);
  if (status >= kServerError) {
    context_.last_failed_forward = EventLoop::now();
  }
  if (counted_by_quota_ && status == kUnavailable) {
    context_.quotas.on_not_run(tenant_->name, EventLoop::now());
  }
  if (status == kUnavailable) {
    context_.counters.refused += 1;
  } else if (status >= kBadGateway) {
    context_.counters.failed += 1;
  }
  HttpHead head;
  head.status = status;
  const std::string& id_header = context_.api.headers().request_id;
  const std::string* id = exchange_->request().find(id_header);
  if (id != nullptr) {
    head.fields.push_back({id_header, *id});
  }
  if (retry_after) {
    head.fields.push_back({"Retry-After", formatSeconds(*retry_after)});
  }
  if (status == kUnauthorized) {
    head.fields.push_back({"WWW-Authenticate", "Bearer"});
  }
  head.fields.push_back({"Content-Type", "text/plain"});
  exchange_->respond(std::move(head), reason + "\n");
}

}  // namespace ramppond
