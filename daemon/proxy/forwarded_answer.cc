// What comes back to a forwarded request: the answer of its server, or one of the proxies.
#include "core/answers/retry_after.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Answers up to this size leave when they are whole, so that one that breaks off can be retried.
// With less, common pages could not be; with more, many answers at once fill the memory.
constexpr std::size_t kHeldAnswerBytes = 49152;

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

attempt_failure failureOf(ClientFailure failure) {
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

void ForwardedRequest::noteLoad(const HttpHead& head) {
  const TimePoint now = EventLoop::now();
  auto load = parseLoad(head.find(kPeerLoad));
  if (!load || attempt_->is_superseded()) {
    return;
  }
  load->rate = parseRate(head.find(kPeerRate));
  context_.directory.onLoad(attempt_->instance, terms_.route->name, *load, now);
  auto levels = parseOverload(head.find(kPeerOverload));
  levels = highest_levels(std::move(levels), {{terms_.service, load->shed}});
  context_.overload.on_answer(terms_.route->name, levels, now);
}

void ForwardedRequest::notePeerAnswer(const peer_answer& answer) {
  history_.note(answer);
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
  noteLoad(head);
  auto own = read_peer_answer(head);
  if (own) {
    notePeerAnswer(*own);
  } else if (context_.api.parseLeaving(head.all(context_.api.headers().server_leaving))) {
    context_.directory.onLeaving(attempt_->instance, attempt_->incarnation);
  }
  if (attempt_->is_held_back()) {
    attempt_->upstream->finishBody();  // Refused: the connection can be used again.
  }
  if (own) {
    attempt_->answer = std::move(*own);
    return;
  }
  head.removeHopByHop();
  removePeerHeaders(head);
  attempt_->answer = held_answer{std::move(head), {}};
}

void ForwardedRequest::onResponseBody(std::string_view data) {
  if (!attempt_ || attempt_->has<peer_answer>()) {
    return;
  }
  if (auto* held = std::get_if<held_answer>(&attempt_->answer)) {
    held->body.append(data);
    if (held->body.size() > kHeldAnswerBytes) {
      releaseAnswer();
    }
    return;
  }
  exchange_->sendBody(data);
  if (exchange_->congested()) {
    attempt_->upstream->pauseResponse();
  }
}

void ForwardedRequest::releaseAnswer() {
  const held_answer held = std::move(std::get<held_answer>(attempt_->answer));
  attempt_->answer = passed_answer{held.head.status};
  state_ = State::kAnswering;
  exchange_->sendHead(held.head, framingOf(held.head));
  exchange_->sendBody(held.body);
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
  if (const auto* own = std::get_if<peer_answer>(&attempt_->answer)) {
    const std::string reason = own->reason;
    afterAttempt(end_of(own->outcome), reason);
    return;
  }
  context_.counters.answered += 1;
  if (attempt_->has<held_answer>()) {
    releaseAnswer();
  }
  const auto* passed = std::get_if<passed_answer>(&attempt_->answer);
  if (passed != nullptr && passed->status >= kServerError) {
    context_.last_failed_forward = EventLoop::now();
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
    breakOff();
    return;
  }
  const attempt_failure how = failureOf(failure);
  if (how == attempt_failure::not_connected || failure == ClientFailure::kNoAnswer) {
    context_.directory.onUnreachable(attempt_->instance, EventLoop::now());
  }
  afterFailure(how);
}

std::optional<Duration> ForwardedRequest::retryAfter(const own_answer& answer) {
  const Duration goal = terms_.route == nullptr ? Duration(0) : terms_.route->goal;
  const retry_after_verdict verdict = retry_after_of(answer, goal);
  if (const auto* stated = std::get_if<exact_retry_after>(&verdict)) {
    return stated->time;
  }
  if (const auto* drawn = std::get_if<jittered_retry_after>(&verdict)) {
    return add_retry_after_jitter(drawn->least, {context_.random.uniform()});
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
            {"route", terms_.route == nullptr ? "" : terms_.route->name},
            {"service", terms_.service},
            {"tenant", terms_.tenant == nullptr ? "" : terms_.tenant->name},
            {"held_us", std::to_string((now - terms_.received).count())},
            {"left_us", std::to_string((terms_.deadline - now).count())},
            {"attempts", std::to_string(history_.tried.size())},
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
  noteOwnAnswer(form_of(answer.kind));
  respondOwn(answer, retry_after);
}

void ForwardedRequest::noteOwnAnswer(const own_answer_form& form) {
  const TimePoint now = EventLoop::now();
  countOwnAnswer(form, context_.counters);
  if (form.promise != run_promise::rejected) {
    context_.last_failed_forward = now;
  }
  if (terms_.counted_by_quota && form.promise == run_promise::not_run) {
    context_.quotas.on_not_run(terms_.tenant->name, now);
  }
}

void ForwardedRequest::respondOwn(const own_answer& answer, std::optional<Duration> retry_after) {
  if (answer.kind == own_answer_kind::body_too_large) {
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
