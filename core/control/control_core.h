// All decisions of one control member: Raft, the replicated state, sessions and held polls.
//
// A pure state machine like DaemonCore: no I/O, not thread safe. The driver feeds events and then
// repeats while there is work: take(); write and sync what it returns; send the messages, requests
// and answers; done(). The implementation is split by topic over control_*.cc.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/consensus/raft.h"
#include "core/consensus/read_index_tracker.h"
#include "core/consensus/snapshot_policy.h"
#include "core/control/control_messages.h"
#include "core/control/control_state.h"
#include "core/control/server_registry.h"
#include "core/crash_evidence/evidence_registry.h"
#include "core/distribution/instance_registry.h"
#include "core/distribution/proxy_messages.h"
#include "core/distribution/traffic_history.h"
#include "core/tenants/quota_ledger.h"

namespace ramppond {

struct ControlOptions {
  std::string name;
  std::string address;  ///< HOST:PORT of this member's control port.
  std::string zone;     ///< Zone of this member's machine; empty if unknown.
  RaftOptions raft;
  snapshot_limits snapshots;
  Duration session_pull_interval = milliseconds(500);
  Duration session_lifetime = seconds(30);
  /// Minimum time for which a daemon's poll is held before instance changes alone answer it.
  /// Without it a fleet that starts at once would cause a number of answers that grows with the
  /// square of its size.
  Duration minimum_instance_update_interval = milliseconds(100);
  std::uint64_t registry_epoch = 1;  ///< Drawn at random at each start of the process.
  QuotaBounds quota;
};

/// Maximum time for which a poll is held, whatever it requests.
constexpr Duration kMaximumPollHold = seconds(10);

/// Identifies a request whose answer the driver waits for.
using ControlToken = std::uint64_t;

struct ControlAnswer {
  ControlToken token = 0;
  ControlReply reply;
};

/// A request to another control member.
struct MemberRequest {
  std::string address;
  std::uint64_t request_id = 0;
  ControlRequest request;
};

/// Work for the driver, in this order: persist `snapshot` and the state in `raft`, send the
/// messages and requests, send the answers.
struct ControlWork {
  RaftReady raft;
  std::optional<Snapshot> snapshot;  ///< Replace the snapshot file, then delete covered entries.
  std::vector<ControlAnswer> answers;
  std::vector<MemberRequest> member_requests;
  [[nodiscard]] bool empty() const {
    return raft.empty() && !snapshot && answers.empty() && member_requests.empty();
  }
};

/// A restarted proxy has replaced the record of its former process.
struct RecordReplacement {
  InstanceRecord before;
  InstanceRecord now;
};

struct ControlCounters {
  std::uint64_t polls = 0;
  std::uint64_t configuration_pushes = 0;
  std::uint64_t commands = 0;
  std::uint64_t claims = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t elections_won = 0;
};

class ControlCore {
 public:
  ControlCore(ControlOptions options, const RaftRecovery& recovery, TimePoint now);

  void onRequest(ControlToken token, const ControlRequest& request, TimePoint now);
  /// The client of a held poll closed its connection.
  void onRequesterGone(ControlToken token);
  /// `sender_address` is where the sender takes replies. It is needed for a sender that is not in
  /// this member's membership yet.
  void onRaftMessage(const RaftMessage& message, const std::string& sender_address, TimePoint now);
  void onMemberReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                     TimePoint now);
  /// Starts a new group of several voters, see RaftNode::bootstrapGroup().
  bool bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now);
  /// Replaces the server list of the platform, which lags behind the daemons' sessions.
  void onPlatformList(const std::vector<ServerInfo>& servers, TimePoint now);
  void tick(TimePoint now, std::int64_t wall_clock_ms);

  ControlWork take(TimePoint now);
  /// Reports that `work`, the last take(), is persisted and sent. Applies its committed entries.
  void done(const ControlWork& work, TimePoint now);

  [[nodiscard]] const RaftNode& raft() const { return raft_; }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const ControlCounters& counters() const { return counters_; }
  [[nodiscard]] ControlStatus status(TimePoint now) const;
  [[nodiscard]] std::size_t listedServers() const { return registry_.listedServers(); }
  [[nodiscard]] std::size_t heldPolls() const { return polls_.size() + proxy_polls_.size(); }
  /// Address to which Raft messages for a member are sent; empty if unknown.
  [[nodiscard]] std::string addressOf(NodeId id) const;
  /// Returns the records that restarted proxies have replaced since the last call, for the log.
  std::vector<RecordReplacement> takeReplacements() { return std::exchange(replacements_, {}); }
  /// Whether this member is the leader or has recently heard from one.
  [[nodiscard]] bool authoritative(TimePoint now) const;

 private:
  struct HeldPoll {
    PollRequest request;
    TimePoint due{0};
    std::uint64_t seen_registry_version = 0;
  };
  struct HeldProxyPoll {
    ProxyPoll poll;
    TimePoint received{0};
    TimePoint due{0};
  };
  struct KnownRegistry {
    std::uint64_t epoch = 0;
    std::uint64_t counter = 0;
    std::uint64_t evidence_counter = 0;
  };
  struct Joiner {
    Member member;
    TimePoint requested_at{0};
  };
  struct PendingProposal {
    ControlToken token = 0;
    Term term = 0;
  };

  void onPoll(ControlToken token, const PollRequest& request, TimePoint now);
  void onCommand(ControlToken token, const ControlRequest& request);
  void onMemberChange(ControlToken token, const ControlRequest& request);
  void onBootstrap(ControlToken token, TimePoint now);
  void onJoin(ControlToken token, const ControlRequest& request, TimePoint now);
  void changeMembersIfDue(TimePoint now);
  void onProxyPoll(ControlToken token, const ControlRequest& request, TimePoint now);
  void storeRecord(const InstanceRecord& record);
  ProxyUpdate proxyUpdate(const ProxyPoll& poll, TimePoint now);
  void onQuotaReport(ControlToken token, const ControlRequest& request, TimePoint now);
  void updateQuotaLimits(TimePoint now);
  void startConfirmationRound(TimePoint now);
  void requestReadIndexFromLeader(read_index_tracker::round_id round);
  [[nodiscard]] bool awaitsConfirmation(const HeldProxyPoll& held, TimePoint now) const;
  [[nodiscard]] bool mayAnswer(const HeldProxyPoll& held, TimePoint now) const;
  [[nodiscard]] bool hasProxyUpdates(const HeldProxyPoll& held, TimePoint now) const;
  void answerProxyPoll(ControlToken token, const HeldProxyPoll& held, TimePoint now);
  void answerHeldProxyPolls(TimePoint now);
  void addTraffic(const ProxyPoll& poll, ProxyUpdate& update);
  void addMembers(const ProxyPoll& poll, ProxyUpdate& update) const;
  [[nodiscard]] ControlMemberLocation placeOf(const std::string& address) const;
  void recordMemberZone(const std::string& address, const ProxyUpdate& update);
  void proposeEvidence(TimePoint now);
  void loadReplicatedEvidence(TimePoint now);
  void onSessions(ControlToken token, const ControlRequest& request, TimePoint now);
  void requestRead(ControlToken token, const ControlRequest& request);
  void answerRead(std::uint64_t read_id, bool ready);
  void answerDepartures(ControlToken token, const ControlRequest& request);
  std::optional<Snapshot> snapshotIfDue();
  bool hasUpdates(const HeldPoll& poll, ControlReply& reply);
  void answerHeldPolls(TimePoint now);
  void answerPoll(ControlToken token, ControlReply reply, TimePoint now);
  void addProposal(ControlToken token, const std::optional<LogIndex>& index);
  void applyEntry(const LogEntry& entry);
  void installSnapshot(const Snapshot& snapshot);
  void recordDelta(const Command& command, ConfigurationVersion before);
  void addConfiguration(ConfigurationVersion have, ControlReply& reply);
  const std::string& encodedConfiguration();
  void failPendingIfNotLeader();
  void pullSessions();
  void answer(ControlToken token, ControlReply reply);
  void answerError(ControlToken token, ErrorKind kind, const std::string& reason);
  [[nodiscard]] std::string leaderAddress() const;

  ControlOptions options_;
  RaftNode raft_;
  ControlState state_;
  ServerRegistry registry_;
  std::int64_t wall_clock_ms_ = 0;
  std::map<ControlToken, HeldPoll> polls_;
  std::map<LogIndex, PendingProposal> proposals_;
  std::map<std::uint64_t, std::pair<ControlToken, ControlRequest>> reads_;
  std::uint64_t next_read_id_ = 1;
  std::uint64_t next_member_request_id_ = 1;
  quota_ledger quotas_;                   ///< Used only while this member is the leader.
  std::uint64_t quota_limits_index_ = 0;  ///< Log index of the configuration with these limits.
  read_index_tracker read_index_;
  /// Rounds in flight: by read id while this member is the leader, else by the request's id.
  std::map<std::uint64_t, read_index_tracker::round_id> confirmation_reads_;
  std::map<std::uint64_t, read_index_tracker::round_id> confirmation_requests_;
  std::map<std::uint64_t, std::string> session_pulls_;    ///< Request id to address.
  std::map<std::string, std::uint64_t> pulled_counters_;  ///< Address to sessions counter.
  std::map<std::string, KnownRegistry> pulled_registries_;
  /// Address to zone, of this member and of the members that have answered it. Not in the log,
  /// since the initial membership holds addresses only.
  std::map<std::string, std::string> member_zones_;
  InstanceRegistry instances_;
  std::vector<RecordReplacement> replacements_;
  evidence_registry evidence_;
  /// Counter of `evidence_` up to which this leader has proposed its records.
  std::uint64_t proposed_evidence_counter_ = 0;
  TimePoint next_evidence_proposal_{0};
  /// Whether the replicated state may hold records that are not in `evidence_`.
  bool replicated_evidence_changed_ = true;
  std::map<ControlToken, HeldProxyPoll> proxy_polls_;
  std::vector<Joiner> joiners_;
  TimePoint next_member_change_{0};
  traffic_history traffic_history_;
  std::map<NodeId, std::string> sender_addresses_;
  TimePoint next_pull_{0};
  LogIndex applied_ = 0;
  snapshot_policy snapshots_;
  std::vector<ControlAnswer> answers_;
  std::vector<MemberRequest> member_requests_;
  bool configuration_changed_ = false;
  std::string encoded_configuration_;  ///< The configuration of `encoded_version_`.
  ConfigurationVersion encoded_version_;
  std::deque<ConfigurationDelta> deltas_;  ///< The latest changes, consecutive, oldest first.
  bool was_leader_ = false;
  TimePoint last_contact_{0};
  ControlCounters counters_;
};

}  // namespace ramppond
