// Tracks up to which time the state applied at a control member is confirmed to
// be current.
//
// A round requests the leader's commit index, which the leader returns once a
// quorum has confirmed its leadership (read index, Raft thesis 6.4). Once that
// index is applied at this member, the state includes everything that was
// acknowledged before the round started. All waiting requests share a round.
// Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/consensus/raft_messages.h"
#include "core/time.h"

namespace ramppond {

class read_index_tracker {
 public:
  using round_id = std::uint64_t;

  /// Starts a round. Returns std::nullopt if the last one started too recently.
  auto begin(TimePoint now) -> std::optional<round_id>;
  /// The leader returned its confirmed commit index.
  void on_read_index(round_id id, LogIndex index);
  void on_failed(round_id id) { this->in_flight.erase(id); }
  /// The state includes every entry up to `applied`.
  void on_applied(LogIndex applied);

  /// Whether the state includes everything that was acknowledged before
  /// `moment`.
  [[nodiscard]] auto covers(TimePoint moment) const -> bool;

 private:
  struct round {
    TimePoint started_at;
    std::optional<LogIndex> index;
  };

  round_id next_id = 1;
  std::map<round_id, round> in_flight;
  std::optional<TimePoint> last_started_at;
  std::optional<TimePoint> confirmed_at;  // start of the latest completed round
};

}  // namespace ramppond
