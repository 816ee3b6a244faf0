// The protocol between daemons, operators and the control group.
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
  kPoll = 0,               ///< A daemon's session: what is new for me?
  kCommand = 1,            ///< Propose a command.
  kReadConfiguration = 2,  ///< Linearizable read.
  kListPlans = 3,
  kStatus = 4,
  kIdentity = 5,  ///< Who is this member?
  kBootstrap = 6,
  kAddMember = 7,
  kRemoveMember = 8,
  kSessions = 9,      ///< Between control members: sessions changed since a counter.
  kReadTraffic = 10,  ///< Linearizable read of the traffic configuration.
  kJoin = 11,         ///< A control member asks the leader to be taken in.
  kProxyPoll = 12,    ///< A daemon of the forwarding path: what is new for me?
  kReadIndex = 13,    ///< A member asks the leader for its commit index, confirmed by a quorum.
  kQuotaReport = 14,  ///< A daemon of the forwarding path tells the leader of tenants' requests.
};

/// A service of whose servers a daemon wants to know, with the digest of what it knows.
struct ServiceInterest {
  std::string service;
  std::uint64_t digest = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, service);
    visitor(2, digest);
  }
};

/// What a daemon says of itself.
struct DaemonSession {
  std::string server;
  std::uint64_t incarnation = 0;
  bool draining = false;
  /// Wall clock of the daemon's start; orders the incarnations of one server.
  std::int64_t started_ms = 0;
  std::uint64_t changed = 0;  ///< Counter of the control member that holds the session.

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
  Duration hold{0};  ///< How long the answer may wait for news.

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
  Member member;  ///< kAddMember; by name for kRemoveMember.
  std::uint64_t sessions_since = 0;
  NodeId sender = 0;         ///< Control members among themselves.
  std::string proxy_poll;    ///< kProxyPoll, kSessions: an encoded ProxyPoll.
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

/// The servers of one service, whole: lists are short, since they are bounded subsets.
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

/// One member as an operator sees it.
struct MemberStatus {
  Member member;
  bool leader = false;
  bool heard = false;           ///< The leader has heard from it in this term.
  std::uint64_t silent_ms = 0;  ///< Since the leader last heard from it.

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

/// One confirmed step from a version to the next. Daemons apply it with applyChanges(), as the
/// control group did.
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
  std::string leader_address;  ///< Where to ask instead, if known.
  /// False when the member does not hear from a leader: what it says may be old.
  bool authoritative = false;
  bool has_configuration = false;
  bool quorum_confirmed = false;
  Configuration configuration;
  /// For daemons: an encoded Configuration, made once for all of them; empty if there is no news.
  std::string whole_configuration;
  std::vector<ConfigurationDelta> deltas;  ///< In place of the whole, oldest first.
  std::vector<ServiceServers> services;    ///< Those that differ from what the daemon has.
  CommandResult result;
  std::vector<Plan> plans;
  ControlStatus status;
  std::vector<DaemonSession> sessions;
  std::uint64_t sessions_counter = 0;
  std::string proxy_news;        ///< kProxyPoll, kSessions: an encoded ProxyNews.
  std::string traffic_document;  ///< kReadTraffic: the operator's text; empty before the first.
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
    visitor(16, proxy_news);
    visitor(17, traffic_document);
    visitor(18, read_index);
    visitor(19, quota_answer);
  }
};

}  // namespace ramppond
