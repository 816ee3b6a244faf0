// A daemon's session with the control group: configuration, servers, claims.
//
// The daemon polls one control member; the member holds the answer until there is news. Claims go
// to the leader in batches, several of which may be under way. The same class runs in the daemon
// and the simulator.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/call_model/configuration.h"
#include "core/call_port/daemon_actions.h"
#include "core/call_port/inbound_calls.h"
#include "core/control/control_messages.h"
#include "core/random.h"

namespace ramppond {

struct ControlSessionOptions {
  std::string server;
  std::string zone;
  std::uint64_t incarnation = 0;
  std::int64_t started_ms = 0;  ///< Wall clock of the daemon's start.
  std::vector<std::string> control_addresses;
  Duration hold = seconds(3);  ///< How long a member may hold a poll.
  Duration answer_margin = milliseconds(700);
  Duration stale_after = seconds(2);  ///< Without a quorum read, go on with what is known.
  bool refuse_older_configuration = true;
  std::uint64_t random_seed = 1;
};

struct ClaimResult {
  CallId holder;
  ClaimReply reply;
};

struct ControlSessionCounters {
  std::uint64_t polls = 0;
  std::uint64_t poll_failures = 0;
  std::uint64_t upstream_changes = 0;
  std::uint64_t configurations_taken = 0;
  std::uint64_t configurations_refused = 0;  ///< Older than what is in force.
};

class ControlSession {
 public:
  explicit ControlSession(ControlSessionOptions options);

  /// A configuration found on the own disk; used once nothing better is to be had.
  void offerSaved(const Configuration& configuration);
  void addInterest(const std::string& service);
  void setDraining(bool draining);
  void carry(const std::vector<ClaimAction>& claims, TimePoint now);

  void tick(TimePoint now, DaemonActions& actions);
  /// The reply to a SendToControl action; nothing if none came.
  void onReply(std::uint64_t request_id, const std::optional<ControlReply>& reply, TimePoint now,
               DaemonActions& actions);

  /// Whether calls may be taken: a version is held that a quorum confirmed, or no quorum could be
  /// asked for `stale_after`.
  [[nodiscard]] bool ready() const { return holder_.hasAny() && (confirmed_ || stale_); }
  [[nodiscard]] bool stale() const { return !confirmed_; }
  [[nodiscard]] const Configuration& configuration() const { return holder_.current(); }
  [[nodiscard]] bool hasUnsentClaims() const { return !claims_.empty() || !batches_.empty(); }
  [[nodiscard]] const ControlSessionCounters& counters() const { return counters_; }
  [[nodiscard]] const std::string& upstream() const { return upstreamAddress(); }

  std::vector<ClaimResult> takeClaimResults() { return std::exchange(claim_results_, {}); }
  std::vector<ServiceServers> takeServers() { return std::exchange(server_updates_, {}); }
  bool takeConfigurationChanged() { return std::exchange(configuration_changed_, false); }

 private:
  struct QueuedClaim {
    ClaimAction action;
    TimePoint queued{0};
  };
  struct Batch {
    CommandType type = CommandType::kClaim;
    std::vector<QueuedClaim> claims;
  };

  void sendPoll(Duration hold, DaemonActions& actions);
  void sendClaims(TimePoint now, DaemonActions& actions);
  void onPollReply(const std::optional<ControlReply>& reply, TimePoint now, DaemonActions& actions);
  void onBatchReply(const Batch& batch, const std::optional<ControlReply>& reply, TimePoint now);
  void nextUpstream(TimePoint now);
  [[nodiscard]] const std::string& upstreamAddress() const;
  void takeNews(const ControlReply& reply, DaemonActions& actions);
  void takeConfiguration(const ControlReply& reply, DaemonActions& actions);
  [[nodiscard]] std::int64_t backoff() const;
  bool offerDeltas(const std::vector<ConfigurationDelta>& deltas);

  ControlSessionOptions options_;
  Random random_;
  ConfigurationHolder holder_;
  bool confirmed_ = false;
  bool stale_ = false;
  bool configuration_changed_ = false;
  TimePoint first_tick_{-1};

  std::map<std::string, std::uint64_t> interests_;  ///< Service to digest.
  bool draining_ = false;
  bool whole_wanted_ = false;   ///< A delta did not apply: ask for the whole configuration.
  bool session_dirty_ = false;  ///< Something must be told before the held poll returns.
  std::size_t upstream_ = 0;
  std::string leader_address_;
  std::uint64_t next_request_id_ = 1;
  std::uint64_t poll_id_ = 0;
  std::set<std::uint64_t> superseded_;  ///< Polls that a later one has replaced.
  TimePoint next_poll_{0};
  std::uint32_t failures_ = 0;  ///< Polls without an answer in a row.

  std::deque<QueuedClaim> claims_;
  std::map<std::uint64_t, Batch> batches_;
  TimePoint next_claims_{0};
  std::vector<ClaimResult> claim_results_;
  std::vector<ServiceServers> server_updates_;
  ControlSessionCounters counters_;
};

}  // namespace ramppond
