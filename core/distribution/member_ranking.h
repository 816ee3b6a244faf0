// Which control member a daemon asks, and when it asks another one.
//
// Members of the own zone come first, since bytes between zones have a price. Otherwise each daemon
// ranks the members by a hash of its own key and the member's address (rendezvous hashing; Thaler
// and Ravishankar, 1998). So daemons spread evenly over the members of a zone, or over all where
// zones have none, whichever of them the settings name, and a member that comes or goes moves its
// own share of the daemons only. A daemon whose first choice fails goes on to the next and returns
// later; such moves are spread over some seconds. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/distribution/proxy_messages.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// What a daemon's ranking follows from.
struct ranking_daemon {
  std::uint64_t key = 0;  ///< Differs between daemons.
  std::string zone;       ///< Empty for unknown.
};

class member_ranking {
 public:
  /// `seeds` are the members that the settings name.
  member_ranking(ranking_daemon daemon, const std::vector<std::string>& seeds);

  void set_seeds(const std::vector<std::string>& seeds);
  /// All members, as one that hears the leader told. A daemon that is told for the first time goes
  /// to its first choice at once, another one within some seconds.
  void on_members(std::vector<ControlMemberPlace> members, TimePoint now);
  /// The current member gave an answer that can be relied upon.
  void on_answered();
  /// The current member gave no answer, or one that cannot be relied upon.
  void on_failed(TimePoint now);
  /// Goes back to the first choice once it is time to. Returns whether it did.
  auto return_if_due(TimePoint now) -> bool;

  [[nodiscard]] auto empty() const -> bool { return this->order.empty(); }
  /// The member to ask; there must be one.
  [[nodiscard]] auto current() const -> const std::string& { return this->order[this->position]; }

 private:
  void rank(const std::string& keep);
  void rank_group(const std::vector<std::string>& group);
  void schedule_return(TimePoint now, Duration pause, Duration spread);

  ranking_daemon daemon;
  Random random;
  std::vector<std::string> seeds;
  std::vector<ControlMemberPlace> members;  // sorted by address; empty until one told them
  std::vector<std::string> former;          // members and seeds of before, the latest last
  std::vector<std::string> order;           // members, then seeds, then former ones
  std::size_t position = 0;
  std::optional<TimePoint> return_at;
  std::uint32_t failed_returns = 0;  // in a row
};

}  // namespace ramppond
