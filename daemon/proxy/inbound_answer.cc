// What the server beside this daemon answers to a request of a peer, or how its run ended else.
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

ServerOutcome outcomeOf(int status) {
  if (status == kGatewayTimeout) {
    return ServerOutcome::kDeadline;
  }
  return status >= kServerError ? ServerOutcome::kFailed : ServerOutcome::kAnswered;
}

ServerOutcome outcomeOf(ClientFailure failure) {
  switch (failure) {
    case ClientFailure::kNoSocket:
      return ServerOutcome::kWithdrawn;
    case ClientFailure::kNotConnected:
    case ClientFailure::kRefused:
      return ServerOutcome::kNoAnswer;
    case ClientFailure::kNoAnswer:
    case ClientFailure::kInvalidAnswer:
    case ClientFailure::kBrokenAnswer:
      return ServerOutcome::kLost;
  }
  return ServerOutcome::kLost;
}

bool bodiless(int status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

void InboundRequest::onResponseHead(HttpHead head) {
  if (state_ != State::kRunning) {
    return;
  }
  const ExternalHeaders& names = context_.api.headers();
  const bool not_run = head.find(names.not_run) != nullptr || head.status == kMisdirected;
  head.removeHopByHop();
  removePeerHeaders(head);
  outcome_ = not_run ? ServerOutcome::kNotRun : outcomeOf(head.status);
  if (not_run) {
    context_.counters.server_not_run += 1;
    discarding_ = true;
    if (head.status == kMisdirected && context_.server.onWrongInstance(incarnation_)) {
      context_.reportServer();
    }
    return;
  }
  addLoad(head);
  BodyFraming framing = framingOf(head);
  if (framing == BodyFraming::kNone && !bodiless(head.status)) {
    framing = BodyFraming::kChunked;
  }
  exchange_->sendHead(head, framing);
}

void InboundRequest::onResponseBody(std::string_view data) {
  if (state_ != State::kRunning || discarding_) {
    return;
  }
  exchange_->sendBody(data);
  if (exchange_->congested()) {
    upstream_->pauseResponse();
  }
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
    refuse(kOutcomeNotRun, "server", kUnavailable);
  } else {
    const auto exchange = exchange_;
    done();
    exchange->finish();
  }
  if (digest_) {
    context_.guard.on_answered(*digest_, begun_, outcome_ == ServerOutcome::kAnswered);
  }
  finishServerWork(outcome_);
}

void InboundRequest::noteLeft() {
  if (digest_) {
    context_.guard.on_left({incarnation_, *digest_, alone_});
  }
}

void InboundRequest::noteLost() {
  if (digest_) {
    context_.guard.on_lost({incarnation_, *digest_, alone_});
  }
}

void InboundRequest::onServerRefusedConnection() {
  const bool others_stand = context_.noteServerRefusal(incarnation_);
  refuse(others_stand ? kOutcomeBusy : kOutcomeFenced, "no connection", kUnavailable);
}

void InboundRequest::onRequestFailed(ClientFailure failure) {
  if (state_ != State::kRunning) {
    return;
  }
  const auto self = shared_from_this();
  context_.counters.server_failures += 1;
  if (failure == ClientFailure::kNoAnswer || failure == ClientFailure::kBrokenAnswer) {
    noteLost();
  }
  if (failure == ClientFailure::kNoSocket) {
    refuse(kOutcomeBusy, "no socket", kUnavailable);
  } else if (failure == ClientFailure::kNotConnected) {
    refuse(kOutcomeBusy, "no connection", kUnavailable);
  } else if (failure == ClientFailure::kRefused) {
    onServerRefusedConnection();
  } else if (exchange_->headSent()) {
    const auto exchange = exchange_;
    done();
    exchange->breakOff();
  } else if (discarding_) {
    refuse(kOutcomeNotRun, "server", kUnavailable);
  } else {
    refuse(kOutcomeUnknown, "connection lost", kBadGateway);
  }
  finishServerWork(outcomeOf(failure));
}

}  // namespace ramppond
