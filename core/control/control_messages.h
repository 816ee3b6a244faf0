// Messages between daemons, operators and the control group.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/call_model/configuration.h"
#include "core/call_model/router.h"
#include "core/consensus/raft_messages.h"
#include "core/control/control_state.h"

namespace ramppond {

enum class ControlRequestType : std::uint8_t {
  kPoll = 0,               ///< A call-port daemon reports its session and requests updates.
  kCommand = 1,            ///< Proposes a command.
  kReadConfiguration = 2,  ///< Linearizable read.
  kListPlans = 3,
  kStatus = 4,
  kIdentity = 5,  ///< Requests the member's identity; answered like kStatus.
  kBootstrap = 6,
  kAddMember = 7,
  kRemoveMember = 8,
  kSessions = 9,      ///< Between control members: requests the sessions changed since a counter.
  kReadTraffic = 10,  ///< Linearizable read of the traffic configuration.
  kJoin = 11,         ///< A control member requests to be added to the group.
  kProxyPoll = 12,    ///< A daemon of the forwarding path requests updates.
  kReadIndex = 13,    ///< A member requests the leader's commit index, confirmed by a quorum.
  kQuotaReport = 14,  ///< A daemon of the forwarding path reports tenants' requests to the leader.
  /// A daemon of the forwarding path reads the departures of its servers; linearizable.
  kReadDepartures = 15,
};

/// A service whose servers a daemon subscribes to, and the digest of the list that it has.
struct ServiceInterest {
  std::string service;
  std::uint64_t digest = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, service);
    visitor(2, digest);
  }
};

/// A daemon's report of its own state.
struct DaemonSession {
  std::string server;
  std::uint64_t incarnation = 0;
  bool draining = false;
  /// Wall-clock time of the daemon's start; orders the incarnations of one server.
  std::int64_t started_ms = 0;
  /// Counter of the control member that holds the session, at the session's last change.
  std::uint64_t changed = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, server);
    visitor(2, incarnation);
    visitor(3, draining);
    visitor(4, changed);
    visitor(5, started_ms);
  }
};

struct PollRequest {
  DaemonSession session;
  std::string zone;
  ConfigurationVersion have;
  bool quorum_read = false;  ///< The configuration must be confirmed by a quorum.
  std::vector<ServiceInterest> interests;
  Duration hold{0};  ///< How long the answer may be held until there is an update.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, session);
    visitor(2, zone);
    visitor(3, have);
    visitor(4, quorum_read);
    visitor(5, interests);
    visitor(6, hold);
  }
};

struct ControlRequest {
  ControlRequestType type = ControlRequestType::kPoll;
  PollRequest poll;
  Command command;
  Member member;  ///< kAddMember, kJoin; kRemoveMember uses only its name.
  std::uint64_t sessions_since = 0;
  NodeId sender = 0;  ///< Set in requests between control members.
  /// kProxyPoll, kSessions: an encoded ProxyPoll; kReadDepartures: an encoded departure_query.
  std::string proxy_poll;
  std::string quota_report;  ///< kQuotaReport: an encoded quota_report.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, type);
    visitor(2, poll);
    visitor(3, command);
    visitor(4, member);
    visitor(5, sessions_since);
    visitor(6, sender);
    visitor(7, proxy_poll);
    visitor(8, quota_report);
  }
};

/// The complete list of servers that a daemon is given for one service. Lists are short, since they
/// are bounded subsets (kMaximumServersPerService).
struct ServiceServers {
  std::string service;
  std::uint64_t digest = 0;
  std::vector<ServerInfo> servers;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, service);
    visitor(2, digest);
    visitor(3, servers);
  }
};

/// Status of one member as shown to operators.
struct MemberStatus {
  Member member;
  bool leader = false;
  bool heard = false;           ///< Whether the leader has heard from it in this term.
  std::uint64_t silent_ms = 0;  ///< Time since the leader last heard from it.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, member);
    visitor(2, leader);
    visitor(3, heard);
    visitor(4, silent_ms);
  }
};

struct ControlStatus {
  std::uint64_t group_id = 0;
  NodeId self = 0;
  std::string name;
  Term term = 0;
  LogIndex commit = 0;
  LogIndex last = 0;
  LogIndex snapshot = 0;
  std::uint64_t sessions = 0;
  std::uint64_t claims = 0;
  std::vector<MemberStatus> members;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, group_id);
    visitor(2, self);
    visitor(3, name);
    visitor(4, term);
    visitor(5, commit);
    visitor(6, last);
    visitor(7, snapshot);
    visitor(8, sessions);
    visitor(9, claims);
    visitor(10, members);
  }
};

/// The confirmed changes from one configuration version to the next. Daemons apply them with
/// applyChanges(), like the control group.
struct ConfigurationDelta {
  ConfigurationVersion base;
  ConfigurationVersion version;
  std::vector<ConfigurationChange> changes;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, base);
    visitor(2, version);
    visitor(3, changes);
  }
};

struct ControlReply {
  ErrorKind error = ErrorKind::kNone;
  std::string reason;
  std::string leader_address;  ///< The leader's address; empty if unknown.
  /// False if the member does not hear from a leader, so that its data may be stale.
  bool authoritative = false;
  bool has_configuration = false;
  bool quorum_confirmed = false;
  Configuration configuration;
  /// For daemons: an encoded Configuration, encoded once for all of them; empty if it is not sent.
  std::string whole_configuration;
  std::vector<ConfigurationDelta> deltas;  ///< Sent instead of the whole, oldest first.
  std::vector<ServiceServers> services;    ///< The lists that differ from what the daemon has.
  CommandResult result;
  std::vector<Plan> plans;
  ControlStatus status;
  std::vector<DaemonSession> sessions;
  std::uint64_t sessions_counter = 0;
  /// kProxyPoll, kSessions: an encoded ProxyUpdate; kReadDepartures: an encoded departure_batch.
  std::string proxy_update;
  std::string traffic_document;  ///< kReadTraffic: the operator's text; empty if there is none.
  LogIndex read_index = 0;       ///< kReadIndex.
  std::string quota_answer;      ///< kQuotaReport: an encoded quota_answer.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, error);
    visitor(2, reason);
    visitor(3, leader_address);
    visitor(4, authoritative);
    visitor(5, has_configuration);
    visitor(6, quorum_confirmed);
    if (has_configuration || Visitor::kReading) {
      visitor(7, configuration);
    }
    visitor(8, services);
    visitor(9, result);
    visitor(10, plans);
    if (status.group_id != 0 || status.self != 0 || Visitor::kReading) {
      visitor(11, status);
    }
    visitor(12, sessions);
    visitor(13, sessions_counter);
    visitor(14, deltas);
    visitor(15, whole_configuration);
    visitor(16, proxy_update);
    visitor(17, traffic_document);
    visitor(18, read_index);
    visitor(19, quota_answer);
  }
};

}  // namespace ramppond
