// The replicated state machine of the control group: configuration, plans and claims.
//
// Deterministic, so that every member reaches the same state from the same log: the only time it
// uses is the proposing leader's clock, which each command carries. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/call_model/call.h"
#include "core/call_model/configuration.h"
#include "core/call_model/planning.h"
#include "core/control/departure_log.h"
#include "core/crash_evidence/evidence_log.h"
#include "core/errors.h"
#include "core/traffic/traffic_state.h"

namespace ramppond {

enum class CommandType : std::uint8_t {
  kPlan = 0,
  kConfirm = 1,
  kReject = 2,
  kClaim = 3,
  kCompleteClaim = 4,
  kReleaseClaim = 5,
  kReplaceTraffic = 6,
  kRecordEvidence = 7,
  kRecordDepartures = 8,
};

/// One claim, completion or release in a command.
struct ClaimCommand {
  std::string key;                      ///< Caller, service and Idempotency-Key; see claimKey().
  std::uint64_t fingerprint = 0;        ///< Checksum of the request; detects reuse of the key.
  CallId holder;                        ///< The attempt that is to run the call.
  Outcome outcome = Outcome::kUnknown;  ///< kCompleteClaim: kRan or kUnknown.
  std::uint32_t status = 0;
  std::string body;  ///< Answer to store, if at most kMaximumStoredAnswerBytes long.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, key);
    visitor(2, fingerprint);
    visitor(3, holder);
    visitor(4, outcome);
    visitor(5, status);
    visitor(6, body);
  }
};

struct Command {
  CommandType type = CommandType::kPlan;
  std::int64_t leader_clock_ms = 0;   ///< Wall-clock time of the proposing leader.
  std::string operator_request_id;    ///< A resent command with the same id gets the first result.
  ConfigurationVersion base_version;  ///< kPlan: the version that the operator saw.
  std::vector<ConfigurationChange> changes;
  std::uint64_t plan_id = 0;
  std::vector<ClaimCommand> claims;  ///< The batch of kClaim, kCompleteClaim or kReleaseClaim.
  std::string traffic;               ///< kReplaceTraffic: an encoded TrafficReplacement.
  /// kRecordEvidence: an encoded evidence_batch; kRecordDepartures: an encoded departure_batch.
  std::string records;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, type);
    visitor(2, leader_clock_ms);
    visitor(3, operator_request_id);
    visitor(4, base_version);
    visitor(5, changes);
    visitor(6, plan_id);
    visitor(7, claims);
    visitor(8, traffic);
    visitor(9, records);
  }
};

/// Answer to one claim of a batch.
struct ClaimReply {
  bool granted = false;
  /// If not granted: kNone if the call has run, with its stored answer below; otherwise why the
  /// claim was denied.
  ErrorKind error = ErrorKind::kNone;
  std::uint32_t status = 0;
  std::string body;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, granted);
    visitor(2, error);
    visitor(3, status);
    visitor(4, body);
  }
};

struct CommandResult {
  ErrorKind error = ErrorKind::kNone;
  std::string reason;
  std::uint64_t plan_id = 0;
  ConfigurationVersion version;    ///< kConfirm: the version that is now in force.
  std::vector<std::string> lines;  ///< kPlan: what would change.
  std::vector<ClaimReply> claims;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, error);
    visitor(2, reason);
    visitor(3, plan_id);
    visitor(4, version);
    visitor(5, lines);
    visitor(6, claims);
  }
};

enum class PlanState : std::uint8_t { kOpen = 0, kConfirmed = 1, kRejected = 2 };

struct Plan {
  std::uint64_t id = 0;
  PlanState state = PlanState::kOpen;
  ConfigurationVersion base_version;
  std::vector<ConfigurationChange> changes;
  std::vector<std::string> lines;
  std::int64_t created_ms = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, id);
    visitor(2, state);
    visitor(3, base_version);
    visitor(4, changes);
    visitor(5, lines);
    visitor(6, created_ms);
  }
};

enum class ClaimState : std::uint8_t { kHeld = 0, kRan = 1, kUnknown = 2 };

struct Claim {
  std::string key;
  std::uint64_t fingerprint = 0;
  CallId holder;
  ClaimState state = ClaimState::kHeld;
  std::uint32_t status = 0;
  std::string body;
  std::int64_t claimed_ms = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, key);
    visitor(2, fingerprint);
    visitor(3, holder);
    visitor(4, state);
    visitor(5, status);
    visitor(6, body);
    visitor(7, claimed_ms);
  }
};

struct StoredResult {
  std::string operator_request_id;
  CommandResult result;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, operator_request_id);
    visitor(2, result);
  }
};

/// The state of the state machine, as stored in a snapshot; see StoredControlState.
struct ControlSnapshot {
  Configuration configuration;
  std::uint64_t next_plan_id = 1;
  std::vector<Plan> plans;
  std::vector<Claim> claims;
  std::vector<StoredResult> results;
  std::vector<CallId> abandoned;  ///< Attempts whose claims are denied.
  std::string traffic;            ///< An encoded TrafficSnapshot; empty if there is none.
  std::vector<dated_evidence> evidence;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(6, abandoned);
    visitor(1, configuration);
    visitor(2, next_plan_id);
    visitor(3, plans);
    visitor(4, claims);
    visitor(5, results);
    visitor(7, traffic);
    visitor(8, evidence);
  }
};

/// The stored form of the state machine: a snapshot with the departures of servers. Earlier
/// versions read the snapshot and ignore the departures.
struct StoredControlState : ControlSnapshot {
  std::vector<dated_departure> departures;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    ControlSnapshot::visitFields(visitor);
    visitor(9, departures);
  }
};

/// A key is retained this long after its claim; a later repeat of the call runs again.
constexpr std::int64_t kClaimRetentionMs = 24LL * 3600 * 1000;
/// The outcome of a claim that is still held after this time counts as unknown. Longer than the
/// longest deadline, with a margin.
constexpr std::int64_t kClaimTimeoutMs = 90LL * 1000;
constexpr std::size_t kMaximumStoredAnswerBytes = 16384;
constexpr std::size_t kMaximumStoredResults = 2048;
constexpr std::size_t kMaximumStoredPlans = 512;
constexpr std::size_t kMaximumAbandonedAttempts = 8192;

/// The key under which a commit-once call is claimed. It includes the caller, so that no caller
/// gets an answer that was stored for another.
std::string claimKey(const std::string& caller_key, const std::string& service,
                     const std::string& idempotency_key);

class ControlState {
 public:
  explicit ControlState(std::uint64_t group_id = 0);

  /// Applies a committed command. `version` is the term and index of its log entry.
  CommandResult apply(const Command& command, ConfigurationVersion version);

  [[nodiscard]] const Configuration& configuration() const { return configuration_; }
  [[nodiscard]] const TrafficState& traffic() const { return traffic_; }
  [[nodiscard]] const evidence_log& evidence() const { return evidence_; }
  [[nodiscard]] const departure_log& departures() const { return departures_; }
  [[nodiscard]] const Plan* findPlan(std::uint64_t id) const;
  [[nodiscard]] const std::deque<Plan>& plans() const { return plans_; }
  [[nodiscard]] std::size_t claimCount() const { return claims_.size(); }
  void setGroupId(std::uint64_t group_id) { configuration_.group_id = group_id; }

  [[nodiscard]] StoredControlState snapshot() const;
  void restore(const StoredControlState& snapshot);

 private:
  CommandResult applyOnce(const Command& command, ConfigurationVersion version);
  CommandResult plan(const Command& command);
  CommandResult confirm(const Command& command, ConfigurationVersion version);
  CommandResult reject(const Command& command);
  CommandResult recordEvidence(const Command& command);
  CommandResult recordDepartures(const Command& command);
  CommandResult replaceTraffic(const Command& command, ConfigurationVersion version);
  ClaimReply claim(const ClaimCommand& command, std::int64_t now_ms);
  void completeClaim(const ClaimCommand& command);
  void releaseClaim(const ClaimCommand& command);
  void expireClaims(std::int64_t now_ms);
  void storeResult(const std::string& operator_request_id, const CommandResult& result);
  void markAbandoned(const CallId& holder);
  Plan* findOpenPlan(std::uint64_t id, CommandResult& result);

  Configuration configuration_;
  TrafficState traffic_;
  evidence_log evidence_;
  departure_log departures_;
  std::uint64_t next_plan_id_ = 1;
  std::deque<Plan> plans_;
  std::map<std::string, Claim> claims_;
  std::deque<std::pair<std::int64_t, std::string>> claim_order_;  ///< By time of claim.
  std::map<std::string, CommandResult> results_;
  std::deque<std::string> result_order_;
  /// Attempts that released their claim. A claim of theirs that arrives late must not be granted.
  std::set<CallId> abandoned_;
  std::deque<CallId> abandoned_order_;
};

}  // namespace ramppond
