// Determines which requests crash servers, and how each request may run in the meantime.
//
// A crash ends all requests in flight at the server, but only one of them caused it. Which one is
// known only if the server crashes while it runs a single suspected request.
//
// Owns what one proxy knows of crashes of the servers of its service and of the requests that were
// in flight at them, in bounded memory. Relies on the crash records (instance_evidence) that the
// proxies beside those servers write. The same records lead to the same decisions at every proxy,
// in whatever order they arrive. Times are those of the caller's clock. No I/O; not thread safe.
//
// Rules, with the functions of crash_attribution.cc that implement them:
//   suspicion   A request is suspected if it was in flight at a crash that no blocked request
//               explains, or if its last server was reported lost. It runs isolated: a server runs
//               one suspected request at a time (suspicion_of).
//   quarantine  A request that was in flight at three such crashes runs isolated and at one server
//               of the service only (suspicion_of; quarantine_placement selects the server).
//   block       A request with two such crashes is run by no server if it ran isolated at one of
//               them and no other request in flight there had two (decide_block, is_proven).
//   correlated crashes  If several servers crash within a second for another reason, two crashes in
//               isolation are required for a block (is_proven).
//   explanation A blocked request explains the crashes at which it was in flight: they count
//               against no other request.
//   release     A block expires. The request is then quarantined, and a further crash blocks it
//               again for twice as long (suspicion_of, decide_block). A success at any server
//               clears a request and withdraws its block (clear).
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

/// The request may run together with any other request.
struct unsuspected {};
/// The request runs isolated: only while no other suspected request runs at the server.
struct suspected {
  std::uint32_t crashes;  // that count against it, at least 1
};
/// The request runs isolated, at only one server of the service.
struct quarantined {};
/// No server runs the request.
struct blocked {
  TimePoint until;
};
/// How a request may run, given the known crashes.
using suspicion_state = std::variant<unsuspected, suspected, quarantined, blocked>;

/// A request that was found to crash servers, and the evidence for it.
struct block_decision {
  request_digest digest;
  std::vector<std::string> instances;  // that crashed with the request in flight
  Duration length{0};                  // of the block, from the last of these crashes
};

class crash_attribution {
 public:
  /// Adds a record. It is ignored unless it is newer than the known one of its instance and younger
  /// than evidence_lifetime.
  void on_evidence(const instance_evidence& evidence, TimePoint now);
  /// Another proxy reported that a server was lost while it ran this request. The record of that
  /// crash may arrive later.
  void on_reported_crash(const request_digest& digest, TimePoint now);
  /// The request succeeded at the server beside this proxy. Returns whether to report this to other
  /// proxies: it had at least two crashes or a block, and no success was reported recently.
  auto on_success(const request_digest& digest, TimePoint now) -> bool;

  [[nodiscard]] auto suspicion_of(const request_digest& digest, TimePoint now) const
      -> suspicion_state;

  /// Returns the blocks decided since the last call.
  auto take_blocks() -> std::vector<block_decision>;
  /// Number of blocks that a success showed to be wrong.
  [[nodiscard]] auto withdrawn_blocks() const -> std::uint64_t { return this->withdrawn_count; }
  /// Number of tracked requests, including those that are no longer suspected.
  [[nodiscard]] auto size() const -> std::size_t { return this->suspects.size(); }

 private:
  struct suspect {
    std::vector<std::string> crashes;  // instances that crashed with it in flight
    std::optional<TimePoint> reported_crash;
    std::optional<TimePoint> blocked_until;  // kept after the block has expired
    Duration block_length{0};
    std::optional<TimePoint> cleared;            // time of its last success
    std::optional<TimePoint> clearing_reported;  // last report by or to this proxy

    [[nodiscard]] auto is_blocked(TimePoint now) const -> bool {
      return this->blocked_until && now < *this->blocked_until;
    }
  };
  /// The record of an instance. `under_way` is empty if it reported only successes and no crash.
  struct instance_crash {
    std::uint64_t revision = 0;
    TimePoint when{0};
    std::vector<request_digest> under_way;
    std::vector<request_digest> isolated;
    std::optional<request_digest> explained_by;  // the blocked request that explains the crash
  };
  void add_crash(const instance_evidence& evidence, TimePoint now);
  auto remove_crash(const std::string& instance_id) -> std::vector<request_digest>;
  void clear_unlisted(const std::vector<request_digest>& formerly_under_way, TimePoint now);
  void attribute_to_blocked(instance_crash& crash, TimePoint now) const;
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
