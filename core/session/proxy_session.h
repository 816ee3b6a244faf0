// A proxy's session with the coordinators: gets the traffic configuration, the records of all
// servers and the evidence of crashes, and reports the own record and evidence.
//
// Input: the own record and evidence, answers to polls, and the time (microseconds). Output: the
// polls to send and what is new. Owns the configuration held and what the coordinator asked last
// knows of this proxy. Relies on the caller sending what takePoll() returns and reporting each
// outcome to onReply(). Pure, not thread safe.
//
// The proxy polls one coordinator at a time, which member_ranking picks, and another one after no
// answer or an answer without authority. A configuration is never replaced by an older one. Without
// any coordinator the proxy goes on with what it holds.
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
  std::string zone;                ///< Its coordinators are asked first; empty for none.
  std::vector<std::string> seeds;  ///< Coordinators, HOST:PORT.
  std::uint64_t incarnation = 1;   ///< Number of this process; raised if an earlier one was higher.
  std::uint64_t random_seed = 1;  ///< Differs between proxies; also spreads them over coordinators.
  /// How long a coordinator may hold a poll. Longer: a lost poll is noticed later. Shorter: more
  /// polls without news.
  Duration hold = seconds(1);
  Duration first_hold = milliseconds(300);     ///< The same while no configuration is held.
  Duration answer_margin = milliseconds(500);  ///< Beyond the hold, for the way of poll and answer.
  bool wants_proof = false;                    ///< Answers are to be confirmed by a quorum.
};

/// A poll to send: to `address`, with an answer expected within `timeout`.
struct OutgoingPoll {
  std::string address;
  std::uint64_t poll_id = 0;
  ControlRequest request;
  Duration timeout{0};
};

class ProxySession {
 public:
  explicit ProxySession(ProxySessionOptions options);

  /// The server beside this proxy changed: reported at once.
  void setOwnRecord(InstanceRecord record);
  /// Evidence of a crash of the server beside this proxy: reported at once.
  void reportEvidence(const instance_evidence& evidence, TimePoint now);
  void setSeeds(const std::vector<std::string>& seeds);

  /// The next poll, if one is due. A poll under way is superseded when the own record changed.
  std::optional<OutgoingPoll> takePoll(TimePoint now);
  /// When takePoll() may next return a poll without a further event; nothing while a poll is
  /// under way.
  [[nodiscard]] std::optional<TimePoint> nextPoll() const;
  /// The answer to a poll, or nothing if none came. Returns whether a quorum confirmed that the
  /// configuration now held is as new as the moment at which that poll was taken.
  bool onReply(std::uint64_t poll_id, const std::optional<ControlReply>& reply, TimePoint now);

  [[nodiscard]] bool hasTraffic() const { return traffic_index_ != 0; }
  [[nodiscard]] const TrafficConfiguration& traffic() const { return traffic_; }
  /// The own record as it was last set, with its numbers.
  [[nodiscard]] const InstanceRecord& ownRecord() const { return record_; }
  [[nodiscard]] std::uint64_t trafficIndex() const { return traffic_index_; }
  bool takeTrafficChanged() { return std::exchange(traffic_changed_, false); }
  std::vector<InstanceRecord> takeInstances() { return std::exchange(news_, {}); }
  /// New evidence of other proxies beside servers of the same service.
  std::vector<instance_evidence> takeEvidence() { return std::exchange(evidence_news_, {}); }
  /// A coordinator named the leader; an empty name changes nothing.
  void onLeaderNamed(const std::string& address);
  /// The leader, as coordinators reported last; empty for unknown.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  /// Where the last authoritative answer came from; empty before it and while none comes.
  [[nodiscard]] const std::string& upstream() const { return upstream_; }

 private:
  [[nodiscard]] bool isPollDue(TimePoint now) const;
  [[nodiscard]] ProxyPoll makePoll(TimePoint now) const;
  [[nodiscard]] Duration holdOfPoll() const;
  void takeNews(const ProxyNews& news, bool authoritative);
  void takeRecords(const ProxyNews& news);
  void takeMembers(const ProxyNews& news, TimePoint now);
  std::optional<TrafficConfiguration> takeDifference(const ProxyNews& news);
  void takeEvidenceNews(const ProxyNews& news, TimePoint now);
  void outdateOwnRecord(const InstanceRecord& known);
  bool takeCurrentAnswer(const ControlReply& reply, TimePoint now);
  void tryNextMember(TimePoint now);
  /// Another coordinator is asked from now on; what the last one knows of this proxy is forgotten.
  void forgetMember();

  ProxySessionOptions options_;
  Random random_;
  bool has_record_ = false;
  InstanceRecord record_;
  std::uint64_t incarnation_;
  std::uint64_t revision_ = 0;
  bool record_unreported_ = false;

  member_ranking members_;
  std::uint64_t members_digest_ = 0;  ///< Of those that members_ holds.
  bool member_untried_ = false;       ///< The first choice is asked again and may still fail.
  std::string upstream_;
  std::string leader_;
  std::uint32_t unproven_answers_ = 0;  ///< In a row.
  std::uint64_t registry_epoch_ = 0;
  std::uint64_t registry_counter_ = 0;
  record_digests digests_;          ///< Of all records held, the own one included.
  bool whole_registry_due_ = true;  ///< The next poll sends digests_.

  std::string evidence_service_;
  evidence_registry evidence_;           ///< Of the own service, own records included.
  std::uint64_t evidence_reported_ = 0;  ///< The coordinator knows `evidence_` up to here.
  std::uint64_t evidence_in_poll_ = 0;   ///< It will once it answers the poll under way.
  std::uint64_t evidence_counter_ = 0;   ///< Of the coordinator, as registry_counter_.
  bool evidence_unreported_ = false;
  std::vector<instance_evidence> evidence_news_;

  std::uint64_t next_poll_id_ = 1;
  std::uint64_t poll_id_ = 0;  ///< Under way; 0 for none.
  std::uint32_t failures_ = 0;
  TimePoint next_poll_{0};

  TrafficConfiguration traffic_;
  std::uint64_t traffic_index_ = 0;
  bool whole_traffic_due_ = false;  ///< A difference did not fit.
  bool traffic_changed_ = false;
  std::vector<InstanceRecord> news_;
};

}  // namespace ramppond
