// When the state applied at a control member was last proven to be the newest.
//
// A round asks the leader for its commit index, which the leader gives once a
// quorum has confirmed that it still leads (read index, Raft thesis 6.4). When
// that index is applied here, everything that was acknowledged before the round
// began is in the state. All who wait share a round. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/consensus/raft_messages.h"
#include "core/time.h"

namespace ramppond {

class state_proof {
 public:
  using round_id = std::uint64_t;

  /// Begins a round, unless one that began shortly before is under way.
  auto begin(TimePoint now) -> std::optional<round_id>;
  /// The leader gave its confirmed commit index.
  void on_index(round_id id, LogIndex index);
  void on_failed(round_id id) { this->under_way.erase(id); }
  /// The state holds everything up to `applied`.
  void on_applied(LogIndex applied);

  /// Whether the state holds everything that was acknowledged before `moment`.
  [[nodiscard]] auto covers(TimePoint moment) const -> bool;

 private:
  struct round {
    TimePoint begun;
    std::optional<LogIndex> index;
  };

  round_id next_id = 1;
  std::map<round_id, round> under_way;
  std::optional<TimePoint> latest_begun;
  std::optional<TimePoint> proven_at;  // begin of the latest round that ended
};

}  // namespace ramppond
