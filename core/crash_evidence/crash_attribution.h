// What the ends of servers say of a request: may it run, and how?
//
// The end of a server takes many requests with it and one of them is to blame.
// So a request that was under way at one or two ends is suspected: it runs while
// no other suspected request does, and if that server ends too, this one did it.
// It is then barred, and the ends at which it was under way are explained, which
// clears whatever else was under way there. One that was under way at three ends
// or more has its trial at one server of the service only, since each more end
// costs everybody. A good end clears a request. All daemons beside the servers
// of a service come to the same verdict from the same records, in whatever order
// those come. A bar ends by itself, and one trial decides again.
// Pure, not thread safe.
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

/// Nothing is held against it.
struct unsuspected {};
/// It runs while no other suspected request does.
struct suspected {
  std::uint32_t ends;  // that nothing explains
};
/// Likewise, at one server of the service only.
struct on_trial {};
/// It runs nowhere.
struct barred {
  TimePoint until;
};
using standing = std::variant<unsuspected, suspected, on_trial, barred>;

/// A request that was found to end servers, with the evidence.
struct block_decision {
  request_digest digest;
  std::vector<std::string> instances;  // that ended
  Duration length{0};
};

class crash_attribution {
 public:
  /// Takes a record; one that is not newer than what is known of its instance
  /// changes nothing.
  void on_evidence(const instance_evidence& evidence, TimePoint now);
  /// A daemon says that the last server of this request was lost to it; the
  /// record of that end may still be on its way.
  void on_hearsay(const request_digest& digest, TimePoint now);
  /// It ended well at the own server. Returns whether others should know.
  auto on_success(const request_digest& digest, TimePoint now) -> bool;

  [[nodiscard]] auto suspicion_of(const request_digest& digest, TimePoint now) const -> standing;

  /// Verdicts found since the last call.
  auto take_blocks() -> std::vector<block_decision>;
  /// Requests that were barred and then ended well: attribution that were wrong.
  [[nodiscard]] auto withdrawn_blocks() const -> std::uint64_t { return this->withdrawn_count; }
  [[nodiscard]] auto size() const -> std::size_t { return this->suspects.size(); }
  [[nodiscard]] auto known_instances() const -> std::size_t { return this->crashes.size(); }

 private:
  struct suspect {
    std::vector<std::string> crashes;  // instances at whose end it was under way
    std::optional<TimePoint> reported_crash;
    std::optional<TimePoint> blocked_until;
    Duration block_length{0};
    std::optional<TimePoint> cleared;            // by a good end
    std::optional<TimePoint> clearing_reported;  // by this daemon or to it
  };
  struct instance_crash {
    std::uint64_t revision = 0;
    TimePoint when{0};
    std::vector<request_digest> under_way;
    std::vector<request_digest> isolated;
    std::optional<request_digest> blamed;  // explains the end
  };
  void add_crash(const instance_evidence& evidence, TimePoint now);
  auto remove_crash(const std::string& instance_id) -> std::vector<request_digest>;
  void blame_blocked(instance_crash& ended, TimePoint now) const;
  void judge(const request_digest& digest, TimePoint now);
  [[nodiscard]] auto is_proven(const request_digest& digest, const suspect& judged,
                               TimePoint now) const -> bool;
  [[nodiscard]] auto correlated_crashes(const request_digest& digest,
                                        const instance_crash& ended) const -> std::size_t;
  void clear(const request_digest& digest, suspect& cleared, TimePoint now);
  void make_room(TimePoint now);
  void drop_crash(const std::string& instance_id);
  void drop_suspects(TimePoint now);
  [[nodiscard]] auto counts(const suspect& judged, const instance_crash& ended, TimePoint now) const
      -> bool;
  [[nodiscard]] auto counted_crashes(const request_digest& digest, const suspect& judged,
                                     TimePoint now) const -> std::uint32_t;

  std::unordered_map<request_digest, suspect> suspects;
  std::map<std::string, instance_crash> crashes;  // by instance
  std::vector<block_decision> blocks;
  std::uint64_t withdrawn_count = 0;
};

}  // namespace ramppond
