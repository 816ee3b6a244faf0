// Decides which coordinator a proxy asks, and when it asks another one.
//
// Input: the coordinators with their zones, those that the settings name, and whether each answer
// could be relied upon (times in microseconds). Output: the address to ask. Owns the order of
// coordinators and the place in it. Pure, not thread safe.
//
// Coordinators of the own zone come first, since bytes between zones have a price. Otherwise each
// proxy orders them by a hash of its own key and their address (rendezvous hashing; Thaler and
// Ravishankar, 1998). So proxies spread evenly over the coordinators of a zone, or over all where
// they have no zones, whichever the settings name, and a coordinator that comes or goes moves only
// its own share of the proxies. A proxy whose first choice fails goes on to the next and returns
// later; such moves are spread over several seconds, so that no coordinator gets all at once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/distribution/proxy_messages.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// The proxy whose order is sought.
struct ranked_proxy {
  std::uint64_t key = 0;  ///< Differs between proxies.
  std::string zone;       ///< Empty for unknown.
};

class member_ranking {
 public:
  /// `seeds` are the coordinators that the settings name.
  member_ranking(ranked_proxy proxy, const std::vector<std::string>& seeds);

  void set_seeds(const std::vector<std::string>& seeds);
  /// All coordinators, as one reported that hears the leader. At the first report the proxy goes to
  /// its first choice at once, later within several seconds.
  void on_members(std::vector<ControlMemberLocation> members, TimePoint now);
  /// The current coordinator gave an answer that can be relied upon.
  void on_answered();
  /// The current coordinator gave no answer, or one that cannot be relied upon.
  void on_failed(TimePoint now);
  /// Goes back to the first choice if that is due. Returns whether it did.
  auto return_if_due(TimePoint now) -> bool;

  [[nodiscard]] auto empty() const -> bool { return this->order.empty(); }
  /// The coordinator to ask; there must be one.
  [[nodiscard]] auto current() const -> const std::string& { return this->order[this->position]; }

 private:
  void rank(const std::string& keep);
  void rank_group(const std::vector<std::string>& group);
  void schedule_return(TimePoint now, Duration pause, Duration spread);

  ranked_proxy proxy;
  Random random;
  std::vector<std::string> seeds;
  std::vector<ControlMemberLocation> members;  // sorted by address; empty until reported
  std::vector<std::string> former;  // members and seeds of earlier orders, the latest last
  std::vector<std::string> order;   // addresses: members, then seeds, then former ones
  std::size_t position = 0;
  std::optional<TimePoint> return_at;
  std::uint32_t failed_returns = 0;  // in a row
};

}  // namespace ramppond
