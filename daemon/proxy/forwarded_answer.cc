// Response handling of a forwarded request: relays the server's answer, or answers in its place.
#include "core/answers/retry_after.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Maximum size of an answer that is buffered whole before it is relayed, so that one whose
// connection breaks can still be retried. Below this size common pages could no longer be retried;
// above it, many concurrent answers would fill the memory.
constexpr std::size_t kMaxBufferedAnswerBytes = 49152;

std::uint64_t* counterOf(own_answer_counter counter, proxy_counters& counters) {
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

void countOwnAnswer(const own_answer_form& form, proxy_counters& counters) {
  std::uint64_t* const counter = counterOf(form.counter, counters);
  if (counter != nullptr) {
    *counter += 1;
  }
  counters.refused += form.promise == run_promise::not_run ? 1 : 0;
  counters.failed += form.promise == run_promise::may_have_run ? 1 : 0;
}

attempt_failure toAttemptFailure(ClientFailure failure) {
  switch (failure) {
    case ClientFailure::kNoSocket:
      return attempt_failure::no_socket;
    case ClientFailure::kNotConnected:
    case ClientFailure::kRefused:
      return attempt_failure::not_connected;
    default:
      return attempt_failure::connection_lost;
  }
}

}  // namespace

void ForwardedRequest::recordLoad(const HttpHead& head) {
  const TimePoint now = EventLoop::now();
  auto load = parseLoad(head.find(kPeerLoad));
  if (!load || attempt_->is_superseded()) {
    return;
  }
  load->rate = parseRate(head.find(kPeerRate));
  load->slowdown_percent = parseSlowdown(head.find(kPeerSlowdown));
  context_.directory.onLoad(attempt_->instance, params_.route->name, *load, now);
  auto levels = parseOverload(head.find(kPeerOverload));
  levels = highest_levels(std::move(levels), {{params_.service, load->shed}});
  context_.overload.on_answer(params_.route->name, levels, now);
  if (context_.features.fair_shares && params_.root) {
    context_.shares.on_answer(params_.service, params_.root->caller,
                              parseExcess(head.find(kPeerShare)), params_.caller_shed_share, now);
  }
}

void ForwardedRequest::recordPeerAnswer(const peer_answer& answer) {
  history_.record(answer);
  if (answer.outcome == peer_outcome::busy) {
    context_.directory.onRefused(attempt_->instance, EventLoop::now());
  } else if (answer.outcome == peer_outcome::fenced) {
    context_.directory.onFenced(attempt_->instance, EventLoop::now());
  }
}

void ForwardedRequest::onResponseHead(HttpHead head) {
  if (!attempt_) {
    return;
  }
  context_.directory.onReached(attempt_->instance, EventLoop::now());
  recordLoad(head);
  auto peer_reply = parse_peer_answer(head);
  if (peer_reply) {
    recordPeerAnswer(*peer_reply);
  } else if (context_.api.parseLeaving(head.all(context_.api.headers().server_leaving))) {
    context_.directory.onLeaving(attempt_->instance, attempt_->incarnation);
  }
  if (attempt_->awaits_confirmation()) {
    attempt_->upstream->finishBody();  // Refused: ends the body so the connection can be reused.
  }
  if (peer_reply) {
    attempt_->answer = std::move(*peer_reply);
    return;
  }
  head.removeHopByHop();
  removePeerHeaders(head);
  attempt_->answer = buffered_answer{std::move(head), {}};
}

void ForwardedRequest::onResponseBody(std::string_view data) {
  if (!attempt_ || attempt_->has<peer_answer>()) {
    return;
  }
  if (auto* buffered = std::get_if<buffered_answer>(&attempt_->answer)) {
    buffered->body.append(data);
    if (buffered->body.size() > kMaxBufferedAnswerBytes) {
      startStreamingAnswer();
    }
    return;
  }
  exchange_->sendBody(data);
  if (exchange_->congested()) {
    attempt_->upstream->pauseResponse();
  }
}

void ForwardedRequest::startStreamingAnswer() {
  const buffered_answer buffered = std::move(std::get<buffered_answer>(attempt_->answer));
  attempt_->answer = streaming_answer{buffered.head.status};
  state_ = State::kAnswering;
  exchange_->sendHead(buffered.head, framingOf(buffered.head));
  exchange_->sendBody(buffered.body);
}

void ForwardedRequest::onResponseDrained() {
  if (attempt_) {
    attempt_->upstream->resumeResponse();
  }
}

void ForwardedRequest::onResponseEnd() {
  if (!attempt_) {
    return;
  }
  const auto self = shared_from_this();
  if (const auto* peer_reply = std::get_if<peer_answer>(&attempt_->answer)) {
    const std::string reason = peer_reply->reason;
    onAttemptEnded(end_of(peer_reply->outcome), reason);
    return;
  }
  context_.counters.answered += 1;
  if (attempt_->has<buffered_answer>()) {
    startStreamingAnswer();
  }
  const auto* passed = std::get_if<streaming_answer>(&attempt_->answer);
  if (passed != nullptr && passed->status >= kServerError) {
    context_.last_failed_forward = EventLoop::now();
  } else {
    context_.returns.on_served(params_, EventLoop::now());
  }
  done();
  exchange_->finish();
}

void ForwardedRequest::onRequestFailed(ClientFailure failure) {
  if (!attempt_) {
    return;
  }
  const auto self = shared_from_this();
  if (state_ == State::kAnswering) {
    abortAnswer(text_of(toAttemptFailure(failure)));
    return;
  }
  const attempt_failure how = toAttemptFailure(failure);
  if (how == attempt_failure::not_connected || failure == ClientFailure::kNoAnswer) {
    context_.directory.onUnreachable(attempt_->instance, EventLoop::now());
  }
  onAttemptFailed(how);
}

std::optional<Duration> ForwardedRequest::retryAfter(const own_answer& answer) {
  const auto planned =
      context_.returns.on_refused(params_, exchange_->request(), answer, EventLoop::now());
  if (planned) {
    return planned;
  }
  const Duration goal = params_.route == nullptr ? Duration(0) : params_.route->goal;
  const retry_after_verdict verdict = retry_after_of(answer, goal);
  if (const auto* stated = std::get_if<exact_retry_after>(&verdict)) {
    return stated->time;
  }
  if (const auto* spread = std::get_if<jittered_retry_after>(&verdict)) {
    return add_retry_after_jitter(spread->least, {context_.random.uniform()});
  }
  return std::nullopt;
}

void ForwardedRequest::logOwnAnswer(const own_answer& answer, const std::string& last_peer) {
  const TimePoint now = EventLoop::now();
  if (!context_.own_answer_log.allow(now.count())) {
    return;
  }
  logEvent(now.count(), context_.own_answer_log.event(),
           {{"request", exchange_->request().get(context_.api.headers().request_id)},
            {"digest", digest_},
            {"status", std::to_string(form_of(answer.kind).status)},
            {"reason", reason_of(answer)},
            {"route", params_.route == nullptr ? "" : params_.route->name},
            {"service", params_.service},
            {"tenant", params_.tenant == nullptr ? "" : params_.tenant->name},
            {"held_us", std::to_string((now - params_.received).count())},
            {"left_us", std::to_string((params_.deadline - now).count())},
            {"attempts", std::to_string(history_.tried_addresses.size())},
            {"arrivals", std::to_string(history_.arrivals)},
            {"peer", last_peer}});
}

void ForwardedRequest::answerOwn(const own_answer& answer) {
  const std::optional<Duration> retry_after = retryAfter(answer);
  std::string last_peer;
  if (attempt_) {
    attempt_->upstream->cancel();
    last_peer = attempt_->instance.record.proxy_address;
  }
  done();
  logOwnAnswer(answer, last_peer);
  recordOwnAnswer(form_of(answer.kind));
  sendOwnAnswer(answer, retry_after);
}

void ForwardedRequest::recordOwnAnswer(const own_answer_form& form) {
  const TimePoint now = EventLoop::now();
  countOwnAnswer(form, context_.counters);
  if (form.promise != run_promise::rejected) {
    context_.last_failed_forward = now;
  }
  if (form.promise == run_promise::not_run) {
    refundQuota();
  }
}

void ForwardedRequest::sendOwnAnswer(const own_answer& answer,
                                     std::optional<Duration> retry_after) {
  if (answer.kind == own_answer_kind::body_too_large || answer.kind == own_answer_kind::stopping) {
    exchange_->closeAfterwards();  // The rest of the body is not read.
  }
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
