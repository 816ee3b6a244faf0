#include "core/control/control_state.h"

#include <algorithm>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

CommandResult failure(ErrorKind kind, std::string reason) {
  CommandResult result;
  result.error = kind;
  result.reason = std::move(reason);
  return result;
}

}  // namespace

std::string claimKey(const std::string& caller_key, const std::string& service,
                     const std::string& idempotency_key) {
  return caller_key + '\n' + service + '\n' + idempotency_key;
}

ControlState::ControlState(std::uint64_t group_id) {
  configuration_.group_id = group_id;
}

CommandResult ControlState::apply(const Command& command, ConfigurationVersion version) {
  const auto stored = results_.find(command.operator_request_id);
  if (!command.operator_request_id.empty() && stored != results_.end()) {
    return stored->second;
  }
  CommandResult result = applyOnce(command, version);
  if (!command.operator_request_id.empty()) {
    storeResult(command.operator_request_id, result);
  }
  return result;
}

CommandResult ControlState::applyOnce(const Command& command, ConfigurationVersion version) {
  CommandResult result;
  switch (command.type) {
    case CommandType::kPlan:
      return plan(command);
    case CommandType::kConfirm:
      return confirm(command, version);
    case CommandType::kReject:
      return reject(command);
    case CommandType::kClaim:
      expireClaims(command.leader_clock_ms);
      for (const ClaimCommand& requested : command.claims) {
        result.claims.push_back(claim(requested, command.leader_clock_ms));
      }
      return result;
    case CommandType::kCompleteClaim:
      std::for_each(command.claims.begin(), command.claims.end(),
                    [this](const ClaimCommand& completed) { completeClaim(completed); });
      return result;
    case CommandType::kReleaseClaim:
      std::for_each(command.claims.begin(), command.claims.end(),
                    [this](const ClaimCommand& released) { releaseClaim(released); });
      return result;
    case CommandType::kReplaceTraffic:
      return replaceTraffic(command, version);
    case CommandType::kRecordEvidence:
      return recordEvidence(command);
    case CommandType::kRecordDepartures:
      return recordDepartures(command);
  }
  return failure(ErrorKind::kMalformedRequest, "unknown type of command");
}

void ControlState::storeResult(const std::string& operator_request_id,
                               const CommandResult& result) {
  results_[operator_request_id] = result;
  result_order_.push_back(operator_request_id);
  while (result_order_.size() > kMaximumStoredResults) {
    results_.erase(result_order_.front());
    result_order_.pop_front();
  }
}

CommandResult ControlState::plan(const Command& command) {
  if (command.base_version != configuration_.version) {
    return failure(ErrorKind::kVersionConflict,
                   "planned against version " + command.base_version.toString() + ", but " +
                       configuration_.version.toString() + " is in force");
  }
  Configuration next = configuration_;
  const auto error = applyChanges(command.changes, next);
  if (error) {
    return failure(error->kind, error->reason);
  }
  Plan plan;
  plan.id = next_plan_id_++;
  plan.base_version = command.base_version;
  plan.changes = command.changes;
  plan.lines = describeDifference(configuration_, next);
  plan.created_ms = command.leader_clock_ms;
  CommandResult result;
  result.plan_id = plan.id;
  result.version = configuration_.version;
  result.lines = plan.lines;
  plans_.push_back(std::move(plan));
  while (plans_.size() > kMaximumStoredPlans) {
    plans_.pop_front();
  }
  return result;
}

Plan* ControlState::findOpenPlan(std::uint64_t id, CommandResult& result) {
  const auto found =
      std::find_if(plans_.begin(), plans_.end(), [&](const Plan& plan) { return plan.id == id; });
  if (found == plans_.end()) {
    result = failure(ErrorKind::kNotFound, "there is no plan " + std::to_string(id));
    return nullptr;
  }
  if (found->state != PlanState::kOpen) {
    result = failure(ErrorKind::kPlanClosed,
                     "plan " + std::to_string(id) + " is already " +
                         (found->state == PlanState::kConfirmed ? "confirmed" : "rejected"));
    return nullptr;
  }
  return &*found;
}

CommandResult ControlState::confirm(const Command& command, ConfigurationVersion version) {
  CommandResult result;
  Plan* plan = findOpenPlan(command.plan_id, result);
  if (plan == nullptr) {
    return result;
  }
  if (plan->base_version != configuration_.version) {
    return failure(ErrorKind::kVersionConflict,
                   "plan " + std::to_string(plan->id) + " was made against version " +
                       plan->base_version.toString() + ", but " +
                       configuration_.version.toString() + " is in force; plan again");
  }
  const auto error = applyChanges(plan->changes, configuration_);
  if (error) {
    return failure(error->kind, error->reason);
  }
  configuration_.version = version;
  plan->state = PlanState::kConfirmed;
  result.plan_id = plan->id;
  result.version = version;
  result.lines = plan->lines;
  return result;
}

CommandResult ControlState::reject(const Command& command) {
  CommandResult result;
  Plan* plan = findOpenPlan(command.plan_id, result);
  if (plan != nullptr) {
    plan->state = PlanState::kRejected;
    result.plan_id = plan->id;
    result.version = configuration_.version;
  }
  return result;
}

CommandResult ControlState::replaceTraffic(const Command& command, ConfigurationVersion version) {
  const auto replacement = decode<TrafficReplacement>(command.traffic);
  if (!replacement) {
    return failure(ErrorKind::kMalformedRequest, "not a replacement of the traffic configuration");
  }
  TrafficResult applied = traffic_.apply(*replacement, version.index);
  CommandResult result = failure(applied.error, std::move(applied.reason));
  result.version = version;
  return result;
}

CommandResult ControlState::recordEvidence(const Command& command) {
  const auto batch = decode<evidence_batch>(command.records);
  if (!batch) {
    return failure(ErrorKind::kMalformedRequest, "not a batch of evidence");
  }
  evidence_.apply(*batch, command.leader_clock_ms);
  return {};
}

CommandResult ControlState::recordDepartures(const Command& command) {
  const auto batch = decode<departure_batch>(command.records);
  if (!batch) {
    return failure(ErrorKind::kMalformedRequest, "not a batch of departures");
  }
  departures_.apply(*batch, command.leader_clock_ms);
  return {};
}

ClaimReply ControlState::claim(const ClaimCommand& command, std::int64_t now_ms) {
  ClaimReply reply;
  if (abandoned_.count(command.holder) != 0) {
    reply.error = ErrorKind::kCancelled;
    return reply;
  }
  const auto [position, inserted] = claims_.try_emplace(command.key);
  Claim& claim = position->second;
  if (inserted) {
    claim.key = command.key;
    claim.fingerprint = command.fingerprint;
    claim.holder = command.holder;
    claim.claimed_ms = now_ms;
    claim_order_.emplace_back(now_ms, command.key);
    reply.granted = true;
    return reply;
  }
  if (claim.fingerprint != command.fingerprint) {
    reply.error = ErrorKind::kKeyReused;
    return reply;
  }
  if (claim.state == ClaimState::kRan) {
    reply.status = claim.status;
    reply.body = claim.body;
    return reply;
  }
  if (claim.state == ClaimState::kHeld && claim.holder == command.holder) {
    reply.granted = true;  // The same attempt repeats its claim after a lost reply.
    return reply;
  }
  const bool in_progress =
      claim.state == ClaimState::kHeld && now_ms - claim.claimed_ms < kClaimTimeoutMs;
  reply.error = in_progress ? ErrorKind::kDuplicateInProgress : ErrorKind::kDuplicateUnknown;
  return reply;
}

void ControlState::completeClaim(const ClaimCommand& command) {
  const auto found = claims_.find(command.key);
  if (found == claims_.end() || found->second.holder != command.holder) {
    return;
  }
  Claim& claim = found->second;
  const bool keep =
      command.outcome == Outcome::kRan && command.body.size() <= kMaximumStoredAnswerBytes;
  claim.state = keep ? ClaimState::kRan : ClaimState::kUnknown;
  claim.status = command.status;
  claim.body = keep ? command.body : std::string();
}

void ControlState::markAbandoned(const CallId& holder) {
  if (!abandoned_.insert(holder).second) {
    return;
  }
  abandoned_order_.push_back(holder);
  while (abandoned_order_.size() > kMaximumAbandonedAttempts) {
    abandoned_.erase(abandoned_order_.front());
    abandoned_order_.pop_front();
  }
}

void ControlState::releaseClaim(const ClaimCommand& command) {
  markAbandoned(command.holder);
  const auto found = claims_.find(command.key);
  const bool held = found != claims_.end() && found->second.holder == command.holder &&
                    found->second.state == ClaimState::kHeld;
  if (held) {
    claims_.erase(found);
  }
}

void ControlState::expireClaims(std::int64_t now_ms) {
  while (!claim_order_.empty() && now_ms - claim_order_.front().first > kClaimRetentionMs) {
    const auto found = claims_.find(claim_order_.front().second);
    if (found != claims_.end() && found->second.claimed_ms == claim_order_.front().first) {
      claims_.erase(found);
    }
    claim_order_.pop_front();
  }
}

const Plan* ControlState::findPlan(std::uint64_t id) const {
  const auto found =
      std::find_if(plans_.begin(), plans_.end(), [&](const Plan& plan) { return plan.id == id; });
  return found == plans_.end() ? nullptr : &*found;
}

StoredControlState ControlState::snapshot() const {
  StoredControlState snapshot;
  snapshot.configuration = configuration_;
  snapshot.next_plan_id = next_plan_id_;
  snapshot.plans.assign(plans_.begin(), plans_.end());
  for (const auto& [claimed_ms, key] : claim_order_) {
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.claimed_ms == claimed_ms) {
      snapshot.claims.push_back(found->second);
    }
  }
  for (const std::string& id : result_order_) {
    snapshot.results.push_back({id, results_.at(id)});
  }
  snapshot.abandoned.assign(abandoned_order_.begin(), abandoned_order_.end());
  snapshot.evidence = evidence_.snapshot();
  snapshot.departures = departures_.snapshot();
  if (traffic_.logIndex() != 0) {
    snapshot.traffic = encode(traffic_.snapshot());
  }
  return snapshot;
}

void ControlState::restore(const StoredControlState& snapshot) {
  *this = ControlState(snapshot.configuration.group_id);
  configuration_ = snapshot.configuration;
  next_plan_id_ = snapshot.next_plan_id;
  plans_.assign(snapshot.plans.begin(), snapshot.plans.end());
  for (const Claim& claim : snapshot.claims) {
    claims_[claim.key] = claim;
    claim_order_.emplace_back(claim.claimed_ms, claim.key);
  }
  for (const StoredResult& stored : snapshot.results) {
    storeResult(stored.operator_request_id, stored.result);
  }
  for (const CallId& holder : snapshot.abandoned) {
    markAbandoned(holder);
  }
  evidence_.restore(snapshot.evidence);
  departures_.restore(snapshot.departures);
  const auto traffic = decode<TrafficSnapshot>(snapshot.traffic);
  if (traffic) {
    traffic_.restore(*traffic);
  }
}

}  // namespace ramppond
