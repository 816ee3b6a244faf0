#include "daemon/proxy/forwarded_request.h"

#include <algorithm>

#include "core/patience.h"
#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

// Bodies up to this size are held for a second attempt; longer ones are streamed once.
constexpr std::size_t kHeldBodyBytes = 65536;
// Answers up to this size leave when they are whole, so that one that breaks off can be repeated.
constexpr std::size_t kHeldAnswerBytes = 49152;
constexpr int kNotFound = 404;
constexpr int kContentTooLarge = 413;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Attempts, whether a server received them or not.
constexpr std::size_t kMaximumTried = 6;
// A request for a service of which no server is known waits for this share of its goal.
constexpr std::int64_t kServerWaitDivisor = 4;
constexpr Duration kServerWaitInterval = milliseconds(20);
// A peer answers within the time that a request may wait there and a round trip.
constexpr Duration kAdmissionMargin = milliseconds(250);
constexpr Duration kLeastTimeForAttempt = milliseconds(10);
// Told to whoever is refused: a third to two thirds of the goal, drawn so that those refused
// together do not come back together.
constexpr std::int64_t kRetryAfterDivisor = 3;
constexpr Duration kLeastRetryAfter = milliseconds(100);
// Without a configuration there is no goal: about as long as the control group needs to elect.
constexpr Duration kRetryAfterWithoutConfiguration = milliseconds(400);

}  // namespace

void ForwardedRequest::serve(ProxyContext& context,
                             const std::shared_ptr<ServerExchange>& exchange) {
  const auto request = std::make_shared<ForwardedRequest>(context, exchange);
  exchange->setHandler(request);
  request->start();
}

ForwardedRequest::ForwardedRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange)
    : context_(context),
      exchange_(std::move(exchange)),
      deadline_timer_(context.loop),
      wait_timer_(context.loop),
      confirm_timer_(context.loop) {}

void ForwardedRequest::start() {
  context_.counters.requests += 1;
  received_ = EventLoop::now();
  if (!admitHead()) {
    return;
  }
  const auto wanted =
      parseMilliseconds(exchange_->request().find(context_.api.headers().deadline_ms));
  deadline_ = received_ + std::min(wanted.value_or(route_->timeout), route_->timeout);
  service_ = chooseService(*route_, context_.random.uniform());
  if (shed(wanted.value_or(route_->timeout))) {
    return;
  }
  HttpHead& head = exchange_->mutableRequest();
  head.removeHopByHop();
  removePeerHeaders(head);
  head.set(context_.api.headers().caller_service, context_.settings.service);
  context_.budget(service_).on_first_send(received_);
  deadline_timer_.after(std::max(timeLeft(), Duration(0)), [this] { onDeadline(); });
  if (!exchange_->hasBody()) {
    body_ended_ = true;
    attempt();
  }
}

// Refusing a call would waste what its tree has cost: only requests of clients are refused here.
bool ForwardedRequest::shed(Duration wanted) {
  const auto origin = context_.calls.on_request(route_->name, received_ + wanted);
  is_call_ = origin != request_origin::client;
  if (is_call_) {
    return false;
  }
  const std::uint32_t less_urgent = traffic_->lessUrgentThan(route_->priority);
  for (const service_overload& below : context_.overload.of(route_->name, received_)) {
    if (context_.random.uniform() < shed_share(below.level, less_urgent)) {
      context_.counters.shed += 1;
      answerOwn(kUnavailable, "overload of " + below.service, true);
      return true;
    }
  }
  return false;
}

// Finds the route, or answers at once.
bool ForwardedRequest::admitHead() {
  traffic_ = context_.traffic;
  if (traffic_ == nullptr) {
    answerOwn(kUnavailable, "no configuration", true);
    return false;
  }
  const HttpHead& head = exchange_->request();
  route_ = traffic_->routes.match(head.get("Host"), head.target);
  if (route_ == nullptr) {
    context_.counters.no_route += 1;
    answerOwn(kNotFound, "no route", false);
    return false;
  }
  if (head.content_length.value_or(0) > traffic_->configuration.limits.max_body_bytes) {
    exchange_->closeAfterwards();
    answerOwn(kContentTooLarge, "body too large", false);
    return false;
  }
  return true;
}

// Right after a restart no server may be known yet: whoever waits for one shortly is served within
// its goal, while the parent of a refused call has run for nothing.
bool ForwardedRequest::mayWaitForServer(TimePoint now) const {
  return tried_.empty() && now - received_ < route_->goal / kServerWaitDivisor &&
         timeLeft() > kLeastTimeForAttempt;
}

void ForwardedRequest::attempt() {
  const TimePoint now = EventLoop::now();
  instance_ = context_.directory.choose(service_, route_->name, tried_, now);
  if (instance_ == nullptr && mayWaitForServer(now)) {
    wait_timer_.after(kServerWaitInterval, [this] { attempt(); });
    return;
  }
  if (instance_ == nullptr || tried_.size() >= kMaximumTried || timeLeft() < kLeastTimeForAttempt) {
    instance_ = nullptr;
    if (run_possible_) {
      answerOwn(kBadGateway, "no server left", false);
    } else {
      answerOwn(kUnavailable, "no server", true);
    }
    return;
  }
  tried_.insert(instance_->record.daemon_address);
  context_.counters.attempts += 1;
  own_answer_ = false;
  HttpHead head = exchange_->request();
  const Duration patience = patience_of(route_->goal, is_call_) - (now - received_);
  head.set(context_.api.headers().deadline_ms, formatMilliseconds(timeLeft()));
  head.fields.push_back({std::string(kPeerInstance), instance_->record.instance_id});
  head.fields.push_back({std::string(kPeerService), service_});
  head.fields.push_back({std::string(kPeerRoute), route_->name});
  head.fields.push_back({std::string(kPeerPriority), std::to_string(route_->priority)});
  head.fields.push_back({std::string(kPeerPatienceMs), formatMilliseconds(patience)});
  if (is_call_) {
    head.fields.push_back({std::string(kPeerCall), "1"});
  }
  if (isRepeatable(route_->kind)) {
    head.fields.push_back({std::string(kPeerRepeatable), "1"});
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
    return;
  }
  head.fields.push_back(
      {std::string(kPeerConfirm), formatBodyForm({body_.size(), framingOf(head)})});
  head.content_length.reset();
  head.chunked = true;
  upstream_ = peer.start(head, BodyFraming::kChunked, body_, false, shared_from_this());
  const Duration patience = patience_of(route_->goal, is_call_);
  confirm_timer_.after(patience + kAdmissionMargin, [this] { onNotAdmitted(); });
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
  afterAttempt(AttemptEnd::kNotSent, "not admitted");
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

bool ForwardedRequest::mayRepeat(AttemptEnd end, std::uint32_t arrivals) {
  if (body_streamed_ || tried_.size() >= kMaximumTried || timeLeft() < kLeastTimeForAttempt) {
    return false;
  }
  if (end == AttemptEnd::kNotSent) {
    return true;
  }
  if (end == AttemptEnd::kUnknown && !isRepeatable(route_->kind)) {
    return false;
  }
  if (arrivals >= route_->max_attempts) {
    return false;
  }
  if (!context_.budget(service_).take(EventLoop::now())) {
    context_.counters.repeats_unpaid += 1;
    return false;
  }
  context_.counters.repeats += 1;
  return true;
}

void ForwardedRequest::noteAttempt(AttemptEnd end) {
  endAttempt();
  arrivals_ += end == AttemptEnd::kNotSent ? 0 : 1;
  run_possible_ = run_possible_ || end == AttemptEnd::kUnknown;
}

void ForwardedRequest::repeat(const std::string& reason) {
  const TimePoint now = EventLoop::now();
  if (context_.repeats.allow(now.count())) {
    logEvent(now.count(), context_.repeats.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
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
  if (!isRepeatable(route_->kind)) {
    return;
  }
  if (!mayRepeat(AttemptEnd::kUnknown, arrivals_ + 1)) {
    return;
  }
  upstream_->cancel();
  noteAttempt(AttemptEnd::kUnknown);
  repeat("peer silent");
}

void ForwardedRequest::afterAttempt(AttemptEnd end, const std::string& reason) {
  noteAttempt(end);
  if (mayRepeat(end, arrivals_)) {
    repeat(reason);
    return;
  }
  if (run_possible_) {
    answerOwn(kBadGateway, reason, false);
  } else {
    answerOwn(kUnavailable, reason, true);
  }
}

void ForwardedRequest::onRequestBody(std::string_view data) {
  if (over_) {
    return;
  }
  body_bytes_ += data.size();
  if (body_bytes_ > traffic_->configuration.limits.max_body_bytes) {
    exchange_->closeAfterwards();
    answerOwn(kContentTooLarge, "body too large", false);
    return;
  }
  if (upstream_ != nullptr) {
    upstream_->sendBody(data);
    if (upstream_->congested()) {
      exchange_->pauseRequestBody();
    }
    return;
  }
  body_.append(data);
  if (body_.size() >= kHeldBodyBytes) {
    body_streamed_ = true;
    attempt();
    body_.clear();
    body_.shrink_to_fit();
  }
}

void ForwardedRequest::onRequestEnd() {
  if (over_ || body_ended_) {
    return;
  }
  body_ended_ = true;
  if (upstream_ != nullptr) {
    upstream_->finishBody();
  } else {
    attempt();
  }
}

void ForwardedRequest::onRequestDrained() {
  exchange_->resumeRequestBody();
}

void ForwardedRequest::onClientGone() {
  if (over_) {
    return;
  }
  context_.counters.clients_gone += 1;
  over_ = true;
  wait_timer_.cancel();
  deadline_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  endAttempt();
}

void ForwardedRequest::onDeadline() {
  const auto self = shared_from_this();
  if (over_) {
    return;
  }
  const bool under_way = upstream_ != nullptr && upstream_->sent() && !heldBack();
  wait_timer_.cancel();
  if (upstream_ != nullptr) {
    upstream_->cancel();
  }
  endAttempt();
  if (exchange_->headSent()) {
    context_.counters.broken_off += 1;
    over_ = true;
    exchange_->breakOff();
    return;
  }
  answerOwn(under_way || run_possible_ ? kGatewayTimeout : kUnavailable, "deadline",
            !under_way && !run_possible_);
}

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
    own_answer_end_ = AttemptEnd::kNotSent;
    context_.directory.onRefused(*instance_, EventLoop::now());
  } else if (kind == kOutcomeFenced) {
    own_answer_end_ = AttemptEnd::kNotSent;
    context_.directory.onFenced(*instance_, EventLoop::now());
  } else if (kind == kOutcomeNotRun) {
    own_answer_end_ = AttemptEnd::kNotRun;
  } else {
    own_answer_end_ = AttemptEnd::kUnknown;
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
    afterAttempt(AttemptEnd::kNotSent, "no socket");
    return;
  }
  const bool not_connected =
      failure == ClientFailure::kNotConnected || failure == ClientFailure::kRefused;
  const bool held_back = heldBack();
  if (not_connected || failure == ClientFailure::kNoAnswer) {
    context_.directory.onUnreachable(*instance_, EventLoop::now());
  }
  if (not_connected) {
    afterAttempt(AttemptEnd::kNotSent, "not connected");
    return;
  }
  afterAttempt(held_back ? AttemptEnd::kNotSent : AttemptEnd::kUnknown, "connection lost");
}

std::string ForwardedRequest::retryAfter() {
  const Duration base = route_ == nullptr
                            ? kRetryAfterWithoutConfiguration
                            : std::max(route_->goal / kRetryAfterDivisor, kLeastRetryAfter);
  const double time = static_cast<double>(base.count()) * (1 + context_.random.uniform());
  const auto thousandths = static_cast<std::int64_t>(time / 1000);
  std::string digits = std::to_string(thousandths % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return std::to_string(thousandths / 1000) + "." + digits;
}

void ForwardedRequest::logOwnAnswer(int status, const std::string& reason,
                                    const std::string& last_peer) {
  const TimePoint now = EventLoop::now();
  if (!context_.own_answers.allow(now.count())) {
    return;
  }
  logEvent(now.count(), context_.own_answers.event(),
           {{"request", exchange_->request().get(context_.api.headers().request_id)},
            {"status", std::to_string(status)},
            {"reason", reason},
            {"route", route_ == nullptr ? "" : route_->name},
            {"service", service_},
            {"held_us", std::to_string((now - received_).count())},
            {"left_us", std::to_string((deadline_ - now).count())},
            {"attempts", std::to_string(tried_.size())},
            {"arrivals", std::to_string(arrivals_)},
            {"peer", last_peer}});
}

void ForwardedRequest::answerOwn(int status, const std::string& reason, bool retry_after) {
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
    head.fields.push_back({"Retry-After", retryAfter()});
  }
  head.fields.push_back({"Content-Type", "text/plain"});
  exchange_->respond(std::move(head), reason + "\n");
}

}  // namespace ramppond
