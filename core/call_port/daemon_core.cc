#include "core/call_port/daemon_core.h"

#include <algorithm>

namespace ramppond {
namespace {

constexpr std::uint32_t kMaximumDepth = 64;
constexpr Duration kNotReadyRetryAfter = milliseconds(500);
// A leaving daemon goes on refusing for a while, so that nobody's call meets a closed port: until
// its peers have heard of it, by an answer or from the control group.
constexpr Duration kShortestDrain = seconds(1);
constexpr Duration kQuietBeforeStop = milliseconds(300);
constexpr Duration kLongestLinger = seconds(5);

InboundOptions inboundOptions(const DaemonOptions& options) {
  InboundOptions inbound;
  inbound.incarnation = options.incarnation;
  inbound.slots = options.slots;
  inbound.policy = options.policy;
  inbound.random_seed = options.random_seed + 1;
  return inbound;
}

ControlSessionOptions sessionOptions(const DaemonOptions& options) {
  ControlSessionOptions session;
  session.server = options.server;
  session.zone = options.zone;
  session.incarnation = options.incarnation;
  session.started_ms = options.started_ms;
  session.control_addresses = options.control_addresses;
  session.refuse_older_configuration = options.policy.refuse_older_configuration;
  session.random_seed = options.random_seed + 2;
  return session;
}

// What an internal call gets that belongs to no call in progress: the lowest rank, no retries.
CallContext contextOfNobody(const EgressRequest& request) {
  CallContext context;
  context.request_id = "none";
  context.level = kLowestLevel;
  context.kind = WorkKind::kBulk;
  context.time_left = request.deadline > Duration(0) ? std::min(request.deadline, kMaximumDeadline)
                                                     : kDefaultDeadline;
  return context;
}

}  // namespace

DaemonCore::DaemonCore(DaemonOptions options)
    : options_(std::move(options)),
      router_(options_.zone, options_.random_seed + 3),
      inbound_(inboundOptions(options_)),
      outbound_(options_.incarnation, options_.policy, router_),
      session_(sessionOptions(options_)),
      front_(options_.policy, options_.random_seed + 4) {
  for (const std::string& service : options_.subscriptions) {
    session_.addInterest(service);
  }
}

void DaemonCore::answerAtOnce(RequestToken token, ErrorKind kind, Duration retry_after,
                              DaemonActions& actions) {
  CallAnswer answer = errorCallAnswer({}, kind);
  answer.retry_after = retry_after;
  actions.emplace_back(AnswerRequest{token, std::move(answer)});
}

void DaemonCore::onFrontRequest(RequestToken token, const FrontRequest& request, TimePoint now,
                                DaemonActions& actions) {
  front_counters_.requests += 1;
  last_arrival_ = now;
  if (draining_) {
    answerAtOnce(token, ErrorKind::kDraining, kNotReadyRetryAfter, actions);
    return;
  }
  if (!session_.ready()) {
    answerAtOnce(token, ErrorKind::kNoConfiguration, kNotReadyRetryAfter, actions);
    return;
  }
  FrontDecision decision = front_.decide(request, session_.configuration(), now);
  if (decision.error != ErrorKind::kNone) {
    const bool shed = decision.error == ErrorKind::kOverloaded;
    (shed ? front_counters_.shed : front_counters_.refused) += 1;
    answerAtOnce(token, decision.error, decision.retry_after, actions);
    return;
  }
  OutboundSpec spec;
  spec.token = token;
  spec.scope = std::make_shared<CallScope>(decision.context, now + decision.context.time_left);
  spec.service = request.service;
  spec.payload = request.payload;
  spec.repeatable = decision.repeatable;
  spec.idempotency_key = decision.context.idempotency_key;
  front_requests_.emplace(token, spec.scope);
  outbound_.start(std::move(spec), now, actions);
  settle(now, actions);
}

void DaemonCore::onEgressRequest(RequestToken token, const EgressRequest& request, TimePoint now,
                                 DaemonActions& actions) {
  std::shared_ptr<CallScope> scope = inbound_.scopeOfHandle(request.handle);
  if (scope == nullptr) {
    front_counters_.egress_without_context += 1;
    const CallContext context = contextOfNobody(request);
    scope = std::make_shared<CallScope>(context, now + context.time_left);
  }
  if (scope->context().depth >= kMaximumDepth) {
    answerAtOnce(token, ErrorKind::kMalformedRequest, Duration(0), actions);
    return;
  }
  OutboundSpec spec;
  spec.token = token;
  spec.scope = std::move(scope);
  spec.service = request.service;
  spec.payload = request.payload;
  spec.repeatable = request.repeatable;
  if (!request.idempotency_key.empty()) {
    spec.idempotency_key =
        claimKey("service " + options_.service, request.service, request.idempotency_key);
  }
  outbound_.start(std::move(spec), now, actions);
  settle(now, actions);
}

void DaemonCore::onRequesterGone(RequestToken token, TimePoint now, DaemonActions& actions) {
  front_counters_.cancelled += front_requests_.erase(token);
  if (options_.policy.cancel_tree) {
    outbound_.cancel(token, now, actions);
  }
  settle(now, actions);
}

void DaemonCore::onPeerRequest(const CallRequest& request, TimePoint now, DaemonActions& actions) {
  last_arrival_ = now;
  inbound_.onRequest(request, now, actions);
  settle(now, actions);
}

void DaemonCore::onPeerGone(const CallId& id, TimePoint now, DaemonActions& actions) {
  inbound_.cancel(id, now, actions);
  settle(now, actions);
}

void DaemonCore::onPeerAnswer(const CallId& attempt, const CallAnswer& answer, TimePoint now,
                              DaemonActions& actions) {
  outbound_.onAnswer(attempt, answer, now, actions);
  settle(now, actions);
}

void DaemonCore::onPeerFailure(const CallId& attempt, bool never_sent, TimePoint now,
                               DaemonActions& actions) {
  outbound_.onFailure(attempt, never_sent, now, actions);
  settle(now, actions);
}

void DaemonCore::onBackendAnswer(const CallId& id, const BackendAnswer& answer, TimePoint now,
                                 DaemonActions& actions) {
  inbound_.onBackendAnswer(id, answer, now, actions);
  settle(now, actions);
}

void DaemonCore::onBackendFailure(const CallId& id, bool never_sent, TimePoint now,
                                  DaemonActions& actions) {
  inbound_.onBackendFailure(id, never_sent, now, actions);
  settle(now, actions);
}

void DaemonCore::onControlReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                                TimePoint now, DaemonActions& actions) {
  session_.onReply(request_id, reply, now, actions);
  settle(now, actions);
}

void DaemonCore::tick(TimePoint now, DaemonActions& actions) {
  inbound_.tick(now, actions);
  outbound_.tick(now, actions);
  settle(now, actions);
  session_.tick(now, actions);
}

void DaemonCore::offerSavedConfiguration(const Configuration& configuration) {
  session_.offerSaved(configuration);
  takeConfiguration();
}

void DaemonCore::startDrain(TimePoint now) {
  if (!draining_) {
    drain_started_ = last_arrival_ = now;
  }
  draining_ = true;
  if (options_.policy.refuse_when_draining) {
    inbound_.startDrain();
    session_.setDraining(true);
  }
}

bool DaemonCore::drained(TimePoint now) const {
  const Duration draining_for = now - drain_started_;
  const bool quiet = draining_for >= kShortestDrain &&
                     (now - last_arrival_ >= kQuietBeforeStop || draining_for >= kLongestLinger);
  return draining_ && quiet && inbound_.idle() && outbound_.idle() && !session_.hasUnsentClaims();
}

void DaemonCore::takeConfiguration() {
  if (!options_.policy.refuse_when_draining) {
    return;
  }
  const auto& drained = session_.configuration().draining_servers;
  router_.setDrainedByOperator(drained);
  const bool drained_here =
      std::find(drained.begin(), drained.end(), options_.server) != drained.end();
  if (draining_) {
    return;
  }
  if (drained_here) {
    inbound_.startDrain();
  } else {
    inbound_.stopDrain();
  }
}

// Passes on what one part has for another, until nothing is left to pass on.
void DaemonCore::settle(TimePoint now, DaemonActions& actions) {
  if (session_.takeConfigurationChanged()) {
    takeConfiguration();
  }
  for (const ServiceServers& update : session_.takeServers()) {
    router_.setServers(update.service, update.servers, now);
    outbound_.onServersChanged(update.service, now, actions);
  }
  for (const ClaimResult& result : session_.takeClaimResults()) {
    inbound_.onClaimReply(result.holder, result.reply, now, actions);
  }
  for (const std::uint64_t orphan : inbound_.takeOrphans()) {
    if (options_.policy.cancel_tree) {
      outbound_.cancel(orphan, now, actions);
    }
  }
  for (OutboundResult& result : outbound_.takeResults()) {
    deliver(std::move(result), now, actions);
  }
  for (const std::string& service : outbound_.takeUnknownServices()) {
    session_.addInterest(service);
  }
  const std::vector<ClaimAction> claims = inbound_.takeClaimActions();
  if (!claims.empty()) {
    session_.carry(claims, now);
    session_.tick(now, actions);
  }
}

void DaemonCore::deliver(OutboundResult result, TimePoint now, DaemonActions& actions) {
  if (front_requests_.erase(result.token) != 0) {
    front_.onAnswer(*result.scope, result.answer, now);
  }
  actions.emplace_back(AnswerRequest{result.token, std::move(result.answer)});
}

}  // namespace ramppond
