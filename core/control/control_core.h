// All decisions of one control member: Raft, the replicated state, sessions and held polls.
//
// A pure state machine like DaemonCore. The driver feeds events, then runs the durability loop:
// take(), write and sync what it holds, send what it holds, done().
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/consensus/raft.h"
#include "core/consensus/snapshot_policy.h"
#include "core/consensus/state_proof.h"
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
  std::string address;  ///< HOST:PORT of the own control port.
  std::string zone;     ///< Of the own machine; empty for unknown.
  RaftOptions raft;
  snapshot_limits snapshots;
  Duration session_pull_interval = milliseconds(500);
  Duration session_lifetime = seconds(30);
  /// News of servers is handed out at most this often to one daemon; a fleet that starts at once
  /// would otherwise cause as many answers as the square of its size.
  Duration instance_news_spacing = milliseconds(100);
  std::uint64_t registry_epoch = 1;  ///< Drawn at random for each start of the process.
  QuotaBounds quota;
};

/// A poll is held for this long at the most, whatever it asks for.
constexpr Duration kLongestPollHold = seconds(10);

/// Names one request that the driver waits to answer.
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

/// What the driver must do, in this order: persist `raft`'s and `snapshot`, send, answer.
struct ControlWork {
  RaftReady raft;
  std::optional<Snapshot> snapshot;  ///< Replace the snapshot file, then drop old log.
  std::vector<ControlAnswer> answers;
  std::vector<MemberRequest> member_requests;
  [[nodiscard]] bool empty() const {
    return raft.empty() && !snapshot && answers.empty() && member_requests.empty();
  }
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
  /// The requester of a held poll closed its connection.
  void onRequesterGone(ControlToken token);
  /// `sender_address` is where the sender takes answers: a new member's log does not say yet.
  void onRaftMessage(const RaftMessage& message, const std::string& sender_address, TimePoint now);
  void onMemberReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                     TimePoint now);
  /// Starts a group of several voters at once on empty disks (RaftNode::bootstrapGroup).
  bool bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now);
  /// The platform's list of servers, which lags.
  void onPlatformList(const std::vector<ServerInfo>& servers, TimePoint now);
  void tick(TimePoint now, std::int64_t wall_clock_ms);

  ControlWork take(TimePoint now);
  /// The last take() is on disk and sent; applies what it committed.
  void done(const ControlWork& work, TimePoint now);

  [[nodiscard]] const RaftNode& raft() const { return raft_; }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const ControlCounters& counters() const { return counters_; }
  [[nodiscard]] ControlStatus status(TimePoint now) const;
  [[nodiscard]] std::size_t listedServers() const { return registry_.listedServers(); }
  [[nodiscard]] std::size_t heldPolls() const { return polls_.size() + proxy_polls_.size(); }
  /// Address of a member, for the driver to send Raft messages to.
  [[nodiscard]] std::string addressOf(NodeId id) const;
  /// Hears from a leader, or is one with a quorum.
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
    TimePoint asked{0};
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
  ProxyNews proxyNews(const ProxyPoll& poll, TimePoint now);
  void onQuotaReport(ControlToken token, const ControlRequest& request, TimePoint now);
  void followLimits(TimePoint now);
  void proveStateForPolls(TimePoint now);
  void askLeaderForIndex(state_proof::round_id round);
  [[nodiscard]] bool awaitsProof(const HeldProxyPoll& held, TimePoint now) const;
  [[nodiscard]] bool mayAnswer(const HeldProxyPoll& held, TimePoint now) const;
  [[nodiscard]] bool hasProxyNews(const HeldProxyPoll& held, TimePoint now) const;
  void answerProxyPoll(ControlToken token, const HeldProxyPoll& held, TimePoint now);
  void answerHeldProxyPolls(TimePoint now);
  void addTraffic(const ProxyPoll& poll, ProxyNews& news);
  void addMembers(const ProxyPoll& poll, ProxyNews& news) const;
  [[nodiscard]] ControlMemberLocation placeOf(const std::string& address) const;
  void takeZone(const std::string& address, const ProxyNews& news);
  void keepEvidence(TimePoint now);
  void takeKeptEvidence(TimePoint now);
  void onSessions(ControlToken token, const ControlRequest& request, TimePoint now);
  void requestRead(ControlToken token, const ControlRequest& request);
  void answerRead(std::uint64_t read_id, bool ready);
  std::optional<Snapshot> snapshotIfDue();
  bool hasNews(const HeldPoll& poll, ControlReply& reply);
  void answerHeldPolls(TimePoint now);
  void answerPoll(ControlToken token, ControlReply reply, TimePoint now);
  void addProposal(ControlToken token, const std::optional<LogIndex>& index);
  void applyEntry(const LogEntry& entry);
  void installSnapshot(const Snapshot& snapshot);
  void rememberDelta(const Command& command, ConfigurationVersion before);
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
  quota_ledger quotas_;                   ///< Of use while this member leads.
  std::uint64_t quota_limits_index_ = 0;  ///< Log index of the configuration they are from.
  state_proof proof_;
  std::map<std::uint64_t, state_proof::round_id> proof_reads_;     ///< By the leader's read id.
  std::map<std::uint64_t, state_proof::round_id> proof_requests_;  ///< By the request's id.
  std::map<std::uint64_t, std::string> session_pulls_;             ///< Request id to address.
  std::map<std::string, std::uint64_t> pulled_counters_;           ///< Address to sessions counter.
  std::map<std::string, KnownRegistry> pulled_registries_;
  /// Address to zone, of this member and of those that answered it. Not in the log: a group begins
  /// with the addresses of its members only.
  std::map<std::string, std::string> member_zones_;
  InstanceRegistry instances_;
  evidence_registry evidence_;
  std::uint64_t evidence_kept_ = 0;  ///< Proposed by this leader up to here.
  TimePoint next_evidence_kept_{0};
  bool evidence_to_take_ = true;  ///< The replicated state may hold records not in `evidence_`.
  std::map<ControlToken, HeldProxyPoll> proxy_polls_;
  std::vector<Joiner> joiners_;
  TimePoint next_member_change_{0};
  traffic_history traffic_history_;
  std::map<NodeId, std::string> heard_addresses_;
  TimePoint next_pull_{0};
  LogIndex applied_ = 0;
  snapshot_policy snapshots_;
  std::vector<ControlAnswer> answers_;
  std::vector<MemberRequest> member_requests_;
  bool configuration_changed_ = false;
  std::string encoded_configuration_;  ///< Of `encoded_version_`.
  ConfigurationVersion encoded_version_;
  std::deque<ConfigurationDelta> deltas_;  ///< The last steps, each on the one before.
  bool was_leader_ = false;
  TimePoint last_contact_{0};
  ControlCounters counters_;
};

}  // namespace ramppond
