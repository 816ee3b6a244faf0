// Response handling of a peer's request: relays the local server's answer, or refuses in its place.
#include "core/admission/discarded_body.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

run_failure toRunFailure(ClientFailure failure) {
  switch (failure) {
    case ClientFailure::kNoSocket:
      return run_failure::no_socket;
    case ClientFailure::kNotConnected:
      return run_failure::not_connected;
    case ClientFailure::kRefused:
      return run_failure::refused;
    case ClientFailure::kInvalidAnswer:
      return run_failure::invalid_answer;
    case ClientFailure::kNoAnswer:
    case ClientFailure::kBrokenAnswer:
      break;
  }
  return run_failure::connection_lost;
}

bool statusForbidsBody(int status) {
  return status == kNoContent || status == kNotModified;
}

// The outcome token on the wire.
std::string_view outcomeToken(refusal_kind kind) {
  switch (kind) {
    case refusal_kind::busy:
      return kOutcomeBusy;
    case refusal_kind::fenced:
      return kOutcomeFenced;
    case refusal_kind::elsewhere:
      return kOutcomeElsewhere;
    case refusal_kind::blocked:
      return kOutcomeBlocked;
    case refusal_kind::not_run:
      return kOutcomeNotRun;
    case refusal_kind::unknown:
      break;
  }
  return kOutcomeUnknown;
}

}  // namespace

void InboundRequest::refuse(inbound_refusal refusal) {
  const refusal_traits terms = traits_of(refusal);
  const std::string outcome(outcomeToken(terms.kind));
  const std::string reason(terms.reason);
  count(terms.counter);
  HttpHead head;
  head.status = terms.status;
  const std::string& id_header = context_.api.headers().request_id;
  const std::string* id = exchange_->request().find(id_header);
  if (id != nullptr) {
    head.fields.push_back({id_header, *id});
  }
  head.fields.push_back({std::string(kPeerOutcome), outcome + ";" + reason});
  addLoadHeaders(head);
  const TimePoint now = EventLoop::now();
  if (blocked_until_) {
    head.fields.push_back({std::string(kPeerBlockedMs), formatMilliseconds(*blocked_until_ - now)});
  }
  logRefusal(outcome, reason, now);
  const auto exchange = exchange_;
  done();
  exchange->respond(std::move(head), "");
}

void InboundRequest::refuseForRate() {
  const TimePoint now = EventLoop::now();
  context_.own.on_refused_for_rate();
  if (context_.limit_log.allow(now.count())) {
    logEvent(now.count(), context_.limit_log.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"instance", incarnation_},
              {"limit", text_of(context_.own.limit().rate())},
              {"age_us", std::to_string(context_.own.limit().age(now).count())},
              {"demand", std::to_string(context_.own.admission().demand(now))},
              {"held_us", std::to_string((now - received_).count())}});
  }
  refuse(inbound_refusal::beyond_rate);
}

void InboundRequest::logRefusal(const std::string& outcome, const std::string& reason,
                                TimePoint now) {
  if (!context_.refusal_log.allow(now.count())) {
    return;
  }
  logEvent(now.count(), context_.refusal_log.event(),
           {{"request", exchange_->request().get(context_.api.headers().request_id)},
            {"digest", digest_ ? format_digest(*digest_) : std::string()},
            {"outcome", outcome},
            {"reason", reason},
            {"instance", incarnation_},
            {"held_us", std::to_string((now - received_).count())},
            {"load", formatLoad(context_.own.load(route_))}});
}

void InboundRequest::cutAnswer(run_failure failure) {
  const TimePoint now = EventLoop::now();
  if (context_.cut_log.allow(now.count())) {
    logEvent(now.count(), context_.cut_log.event(),
             {{"request", exchange_->request().get(context_.api.headers().request_id)},
              {"digest", digest_ ? format_digest(*digest_) : std::string()},
              {"reason", std::string(text_of(failure))},
              {"instance", incarnation_},
              {"held_us", std::to_string((now - received_).count())}});
  }
  const auto exchange = exchange_;
  done();
  exchange->breakOff();
}

void InboundRequest::count(refusal_counter counter) {
  switch (counter) {
    case refusal_counter::none:
      break;
    case refusal_counter::fenced:
      context_.counters.inbound_fenced += 1;
      break;
    case refusal_counter::refused:
      context_.counters.inbound_refused += 1;
      break;
    case refusal_counter::breaker:
      context_.counters.inbound_broken += 1;
      break;
    case refusal_counter::blocked:
      context_.counters.inbound_blocked += 1;
      break;
  }
}

reported_excess InboundRequest::reportedExcess() const {
  if (!context_.features.fair_shares) {
    return {};
  }
  const TimePoint now = EventLoop::now();
  const double current = context_.own.admission().excessOf(admission_, now);
  const auto caller = admission_.root ? admission_.root->caller : std::string();
  return excess_to_report({judged_excess_, current}, context_.shares.highest(caller, now));
}

void InboundRequest::addLoadHeaders(HttpHead& head) {
  const ServerLoad load = context_.own.load(route_);
  head.fields.push_back({std::string(kPeerLoad), formatLoad(load)});
  if (load.rate) {
    head.fields.push_back({std::string(kPeerRate), formatRate(*load.rate)});
  }
  if (load.slowdown_percent) {
    head.fields.push_back({std::string(kPeerSlowdown), std::to_string(*load.slowdown_percent)});
  }
  if (const auto excess = reportedExcess(); excess.permille > 0) {
    head.fields.push_back({std::string(kPeerShare), std::to_string(excess.permille)});
  }
  const std::string levels = formatOverload(
      downstream_overload_of(route_, context_.calls, context_.overload, EventLoop::now()));
  if (!levels.empty()) {
    head.fields.push_back({std::string(kPeerOverload), levels});
  }
}

void InboundRequest::processServerHeaders(const HttpHead& head) {
  const ExternalHeaders& names = context_.api.headers();
  context_.own.on_announced_limit(incarnation_,
                                  context_.api.parseLimit(head.all(names.server_limit)), begun_);
  if (context_.api.parseLeaving(head.all(names.server_leaving))) {
    context_.own.on_leaving_answer(incarnation_);
  }
  context_.server_load.on_response(incarnation_, head);
}

void InboundRequest::onResponseHead(HttpHead head) {
  if (state_ != State::kRunning) {
    return;
  }
  const ExternalHeaders& names = context_.api.headers();
  const bool not_run = head.find(names.not_run) != nullptr || head.status == kMisdirected;
  if (head.status != kMisdirected) {  // Such an answer comes from another instance.
    processServerHeaders(head);
  }
  head.removeHopByHop();
  removePeerHeaders(head);
  outcome_ = outcome_of(answer_head{head.status, not_run});
  if (not_run) {
    context_.counters.server_not_run += 1;
    discarding_ = true;
    if (head.status == kMisdirected) {
      context_.own.on_wrong_instance(incarnation_);
    }
    return;
  }
  addLoadHeaders(head);
  BodyFraming framing = framingOf(head);
  if (framing == BodyFraming::kNone && !statusForbidsBody(head.status)) {
    framing = BodyFraming::kChunked;
  }
  exchange_->sendHead(head, framing);
}

void InboundRequest::onResponseBody(std::string_view data) {
  if (state_ != State::kRunning) {
    return;
  }
  if (discarding_) {
    discard(data);
    return;
  }
  exchange_->sendBody(data);
  if (exchange_->congested()) {
    upstream_->pauseResponse();
  }
}

void InboundRequest::discard(std::string_view data) {
  discarded_.value += data.size();
  if (may_discard(discarded_)) {
    return;
  }
  const auto self = shared_from_this();
  upstream_->cancel();
  refuse(inbound_refusal::declared_not_run);
  finishAnswered();
}

void InboundRequest::onResponseDrained() {
  if (upstream_ != nullptr) {
    upstream_->resumeResponse();
  }
}

void InboundRequest::onResponseEnd() {
  if (state_ != State::kRunning) {
    return;
  }
  const auto self = shared_from_this();
  if (discarding_) {
    refuse(inbound_refusal::declared_not_run);
  } else {
    const auto exchange = exchange_;
    done();
    exchange->finish();
  }
  finishAnswered();
}

void InboundRequest::finishAnswered() {
  if (digest_) {
    context_.guard.on_answered(*digest_, begun_, outcome_ == ServerOutcome::kAnswered);
  }
  finishServerWork(outcome_);
}

void InboundRequest::reportAbandonedRun() {
  if (digest_) {
    context_.guard.on_abandoned({incarnation_, *digest_, isolated_});
  }
}

void InboundRequest::reportLostRun() {
  if (digest_) {
    context_.guard.on_lost({incarnation_, *digest_, isolated_});
  }
}

answer_progress InboundRequest::answerProgress() const {
  if (exchange_->headSent()) {
    return answer_progress::begun;
  }
  return discarding_ ? answer_progress::declared_not_run : answer_progress::none;
}

void InboundRequest::onRequestFailed(ClientFailure client_failure) {
  if (state_ != State::kRunning) {
    return;
  }
  const auto self = shared_from_this();
  context_.counters.server_failures += 1;
  const run_failure failure = toRunFailure(client_failure);
  if (may_be_crash(failure)) {
    reportLostRun();
  }
  const bool other_connections_open =
      failure == run_failure::refused && context_.own.on_connection_refused(incarnation_);
  const auto refusal = refusal_after(failure, answerProgress(), other_connections_open);
  if (refusal) {
    refuse(*refusal);
  } else {
    cutAnswer(failure);
  }
  finishServerWork(outcome_of(failure));
}

}  // namespace ramppond
