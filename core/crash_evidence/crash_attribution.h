// Decides which request crashes servers, and how each request may run meanwhile.
//
// Owns what one proxy knows of crashes of the servers of its service and of the
// requests that were under way at them; all bounded. Relies on the crash records
// (instance_evidence) that the proxies beside those servers write; with the same
// records every proxy decides alike, in whatever order they come. Times are those
// of the caller's clock. Pure, not thread safe.
//
// The rules, each in one function of crash_attribution.cc:
//   suspect  a request that was under way at a crash that no blocked request
//            explains, or whose last server was reported lost: it runs isolated,
//            one suspected request at a time at a server (suspicion_of).
//   trial    one that was under way at three such crashes: isolated, and at one
//            server of the service only (suspicion_of; quarantine_placement says where).
//   block    one that has two such crashes, one of them while it ran isolated and
//            with no other request under way that has two: no server runs it
//            (decide_block, is_proven).
//   correlated crashes  several servers that crash within a second for another
//            reason: two such crashes in isolation are needed (is_proven).
//   explain  a blocked request explains the crashes at which it was under way:
//            they count against no other request.
//   release  a block ends by time, and a trial decides again, for twice as long
//            after one more crash (suspicion_of, decide_block). A success at any
//            server clears a request and withdraws a block on it (clear).
//
// A crash takes all requests under way along, and one is to blame. Only the crash
// of a server that ran one suspected request tells which.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/crash_evidence/instance_evidence.h"
#include "core/time.h"

namespace ramppond {

/// It runs beside any other request.
struct unsuspected {};
/// It runs while no other suspected request runs at the server.
struct suspected {
  std::uint32_t crashes;  // crashes held against it, at least 1
};
/// As suspected, and at one server of the service only.
struct quarantined {};
/// No server runs it.
struct blocked {
  TimePoint until;
};
/// How a request may run by what is known of crashes.
using suspicion_state = std::variant<unsuspected, suspected, quarantined, blocked>;

/// A request that was found to crash servers, with the evidence.
struct block_decision {
  request_digest digest;
  std::vector<std::string> instances;  // that crashed with it under way
  Duration length{0};                  // of the block, from the last of these crashes
};

class crash_attribution {
 public:
  /// Takes a record; one that is not newer than what is known of its instance, or
  /// older than evidence_lifetime, changes nothing.
  void on_evidence(const instance_evidence& evidence, TimePoint now);
  /// Another proxy reports that a server was lost while it ran this request; the
  /// record of that crash may still be on its way.
  void on_reported_crash(const request_digest& digest, TimePoint now);
  /// It succeeded at the own server. Returns whether this is to be reported: it
  /// had two crashes held against it or a block, and nobody has reported it of late.
  auto on_success(const request_digest& digest, TimePoint now) -> bool;

  [[nodiscard]] auto suspicion_of(const request_digest& digest, TimePoint now) const
      -> suspicion_state;

  /// Decisions since the last call.
  auto take_blocks() -> std::vector<block_decision>;
  /// Blocks so far that a success showed to be wrong.
  [[nodiscard]] auto withdrawn_blocks() const -> std::uint64_t { return this->withdrawn_count; }
  /// Requests known by name, suspected or not any more.
  [[nodiscard]] auto size() const -> std::size_t { return this->suspects.size(); }

 private:
  struct suspect {
    std::vector<std::string> crashes;  // instances that crashed with it under way
    std::optional<TimePoint> reported_crash;
    std::optional<TimePoint> blocked_until;  // also of a block that has ended
    Duration block_length{0};
    std::optional<TimePoint> cleared;            // by its last success
    std::optional<TimePoint> clearing_reported;  // by this proxy or to it

    [[nodiscard]] auto is_blocked(TimePoint now) const -> bool {
      return this->blocked_until && now < *this->blocked_until;
    }
  };
  /// An instance that has crashed; nothing under way for one that only reported
  /// successes.
  struct instance_crash {
    std::uint64_t revision = 0;
    TimePoint when{0};
    std::vector<request_digest> under_way;
    std::vector<request_digest> isolated;
    std::optional<request_digest> blamed;  // the blocked request that explains it
  };
  void add_crash(const instance_evidence& evidence, TimePoint now);
  auto remove_crash(const std::string& instance_id) -> std::vector<request_digest>;
  void clear_unlisted(const std::vector<request_digest>& formerly_under_way, TimePoint now);
  void blame_blocked(instance_crash& crash, TimePoint now) const;
  void decide_block(const request_digest& digest, TimePoint now);
  void block(const request_digest& digest, suspect& proven);
  [[nodiscard]] auto is_proven(const request_digest& digest, const suspect& judged,
                               TimePoint now) const -> bool;
  [[nodiscard]] auto is_decisive(const request_digest& digest, const suspect& judged,
                                 const instance_crash& crash, TimePoint now) const -> bool;
  [[nodiscard]] auto is_correlated(const request_digest& digest, const instance_crash& crash) const
      -> bool;
  void clear(const request_digest& digest, suspect& cleared, TimePoint now);
  void make_room(TimePoint now);
  void drop_crashes(TimePoint now);
  void drop_crash(const std::string& instance_id);
  void drop_suspects(TimePoint now);
  [[nodiscard]] auto counts(const suspect& judged, const instance_crash& crash, TimePoint now) const
      -> bool;
  [[nodiscard]] auto counted_crashes(const request_digest& digest, const suspect& judged,
                                     TimePoint now) const -> std::uint32_t;

  std::unordered_map<request_digest, suspect> suspects;
  std::map<std::string, instance_crash> crashes;  // by instance
  std::vector<block_decision> blocks;
  std::uint64_t withdrawn_count = 0;
};

}  // namespace ramppond
