// A proxy's session with the coordinators: receives the traffic configuration, the records of all
// servers and crash evidence, and reports its own record and evidence.
//
// Input: the own record and evidence, answers to polls, and the time in microseconds. Output: the
// polls to send and the changes received. Owns the configuration held and the state of the session
// with the current coordinator. Relies on the caller to send the polls returned by takePoll() and
// to report each outcome to onReply(). No I/O; not thread safe.
//
// The proxy polls one coordinator at a time, which member_ranking selects, and switches to another
// one after a missing or non-authoritative answer. A configuration is never replaced by an older
// one. If no coordinator answers, the proxy continues with the configuration that it holds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/control/control_messages.h"
#include "core/crash_evidence/evidence_registry.h"
#include "core/distribution/instance_registry.h"
#include "core/distribution/proxy_messages.h"
#include "core/distribution/record_digests.h"
#include "core/random.h"
#include "core/session/member_ranking.h"
#include "core/time.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

struct ProxySessionOptions {
  std::string zone;                ///< Coordinators of this zone are polled first; empty for none.
  std::vector<std::string> seeds;  ///< Coordinators, HOST:PORT.
  std::uint64_t incarnation = 1;   ///< Of this process; raised if an earlier one was higher.
  std::uint64_t random_seed = 1;  ///< Differs between proxies; also spreads them over coordinators.
  /// How long a coordinator may hold a poll. A longer time delays the detection of lost polls; a
  /// shorter one causes more polls without an update.
  Duration hold = seconds(1);
  Duration first_hold = milliseconds(300);     ///< Likewise while no configuration is held.
  Duration answer_margin = milliseconds(500);  ///< Added to the hold for network delays.
  bool requests_quorum_confirmation = false;   ///< Requests answers that a quorum has confirmed.
};

/// A poll to send to `address`; the answer is expected within `timeout`.
struct OutgoingPoll {
  std::string address;
  std::uint64_t poll_id = 0;
  ControlRequest request;
  Duration timeout{0};
};

class ProxySession {
 public:
  explicit ProxySession(ProxySessionOptions options);

  /// Sets the record of the server beside this proxy. It is reported at once.
  void setOwnRecord(InstanceRecord record);
  /// Adds evidence of a crash of the server beside this proxy. It is reported at once.
  void reportEvidence(const instance_evidence& evidence, TimePoint now);
  void setSeeds(const std::vector<std::string>& seeds);

  /// Returns the next poll if one is due. A change of the own record or evidence supersedes a poll
  /// in flight.
  std::optional<OutgoingPoll> takePoll(TimePoint now);
  /// Time at which takePoll() may next return a poll without a further event, or std::nullopt while
  /// a poll is in flight.
  [[nodiscard]] std::optional<TimePoint> nextPoll() const;
  /// Processes the answer to a poll, or std::nullopt if none arrived. Returns whether a quorum
  /// confirmed that the configuration now held was current when the poll was taken.
  bool onReply(std::uint64_t poll_id, const std::optional<ControlReply>& reply, TimePoint now);

  [[nodiscard]] bool hasTraffic() const { return traffic_index_ != 0; }
  [[nodiscard]] const TrafficConfiguration& traffic() const { return traffic_; }
  /// The own record as last set, with its incarnation and revision.
  [[nodiscard]] const InstanceRecord& ownRecord() const { return record_; }
  [[nodiscard]] std::uint64_t trafficIndex() const { return traffic_index_; }
  bool takeTrafficChanged() { return std::exchange(traffic_changed_, false); }
  std::vector<InstanceRecord> takeInstances() { return std::exchange(new_instances_, {}); }
  /// Returns new evidence from other proxies beside servers of the same service.
  std::vector<instance_evidence> takeEvidence() { return std::exchange(new_evidence_, {}); }
  /// A coordinator reported the leader's address. No effect if it is empty.
  void onLeaderNamed(const std::string& address);
  /// The leader's address as last reported by a coordinator; empty if unknown.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  /// The coordinator of the last authoritative answer; empty before the first one and after a
  /// switch until the next one.
  [[nodiscard]] const std::string& upstream() const { return upstream_; }

 private:
  [[nodiscard]] bool isPollDue(TimePoint now) const;
  [[nodiscard]] ProxyPoll makePoll(TimePoint now) const;
  [[nodiscard]] Duration holdOfPoll() const;
  void takeUpdate(const ProxyUpdate& update, bool authoritative);
  void takeRecords(const ProxyUpdate& update);
  void takeMembers(const ProxyUpdate& update, TimePoint now);
  std::optional<TrafficConfiguration> takeDifference(const ProxyUpdate& update);
  void takeEvidenceUpdate(const ProxyUpdate& update, TimePoint now);
  void supersedeOwnRecord(const InstanceRecord& known);
  bool takeCurrentAnswer(const ControlReply& reply, TimePoint now);
  void tryNextMember(TimePoint now);
  /// Resets the state of the session with the last coordinator before switching to another one.
  void forgetMember();

  ProxySessionOptions options_;
  Random random_;
  bool has_record_ = false;
  InstanceRecord record_;
  std::uint64_t incarnation_;
  std::uint64_t revision_ = 0;
  bool record_unreported_ = false;

  member_ranking members_;
  std::uint64_t members_digest_ = 0;  ///< Of the coordinators that members_ holds.
  bool member_untried_ = false;       ///< Switched back to the first choice, which may still fail.
  std::string upstream_;
  std::string leader_;
  std::uint32_t unconfirmed_answers_ = 0;  ///< In a row.
  std::uint64_t registry_epoch_ = 0;
  std::uint64_t registry_counter_ = 0;
  record_digests digests_;   ///< Of all records held, including the own one.
  bool digests_due_ = true;  ///< The next poll sends digests_.

  std::string evidence_service_;
  evidence_registry evidence_;           ///< Of the own service, including own records.
  std::uint64_t evidence_reported_ = 0;  ///< The coordinator knows `evidence_` up to here.
  std::uint64_t evidence_in_poll_ = 0;   ///< Likewise once it has answered the poll in flight.
  std::uint64_t evidence_counter_ = 0;   ///< Of the coordinator, like registry_counter_.
  bool evidence_unreported_ = false;
  std::vector<instance_evidence> new_evidence_;

  std::uint64_t next_poll_id_ = 1;
  std::uint64_t poll_id_ = 0;  ///< Poll in flight; 0 for none.
  std::uint32_t failures_ = 0;
  TimePoint next_poll_{0};

  TrafficConfiguration traffic_;
  std::uint64_t traffic_index_ = 0;
  bool full_traffic_due_ = false;  ///< A difference did not apply.
  bool traffic_changed_ = false;
  std::vector<InstanceRecord> new_instances_;
};

}  // namespace ramppond
