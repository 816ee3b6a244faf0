// Selects the coordinator that a proxy polls, and decides when it switches to another one.
//
// Input: the coordinators with their zones, the seeds from the settings, and whether each answer
// was reliable. Times are in microseconds. Output: the address to poll. Owns the order of
// coordinators and the current position in it. No I/O; not thread safe.
//
// Coordinators of the proxy's own zone come first, since traffic between zones is charged. Within a
// group, each proxy orders them by a hash of its own key and their address (rendezvous hashing;
// Thaler and Ravishankar, 1998). Proxies therefore spread evenly over the coordinators of a zone,
// or over all of them without zones, whatever the seeds are, and a coordinator that joins or leaves
// moves only its own share of the proxies. A proxy whose first choice fails switches to the next
// one and returns later. Such moves are spread over several seconds, so that no coordinator gets
// all proxies at once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/distribution/proxy_messages.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// The proxy that coordinators are ranked for.
struct ranked_proxy {
  std::uint64_t key = 0;  ///< Differs between proxies.
  std::string zone;       ///< Empty for unknown.
};

class member_ranking {
 public:
  /// `seeds` are the addresses of coordinators in the settings.
  member_ranking(ranked_proxy proxy, const std::vector<std::string>& seeds);

  void set_seeds(const std::vector<std::string>& seeds);
  /// Sets all coordinators, as reported by one that is in contact with the leader. After the first
  /// report the proxy switches to its first choice at once, after later ones within several
  /// seconds.
  void on_members(std::vector<ControlMemberLocation> members, TimePoint now);
  /// The current coordinator gave a reliable answer.
  void on_answered();
  /// The current coordinator gave no answer or an unreliable one. Switches to the next one.
  void on_failed(TimePoint now);
  /// Switches back to the first choice if that is due. Returns whether it did.
  auto return_if_due(TimePoint now) -> bool;

  [[nodiscard]] auto empty() const -> bool { return this->order.empty(); }
  /// The coordinator to poll. Must not be called if empty().
  [[nodiscard]] auto current() const -> const std::string& { return this->order[this->position]; }

 private:
  void rank(const std::string& keep);
  void rank_group(const std::vector<std::string>& group);
  void schedule_return(TimePoint now, Duration pause, Duration spread);

  ranked_proxy proxy;
  Random random;
  std::vector<std::string> seeds;
  std::vector<ControlMemberLocation> members;  // sorted by address; empty until reported
  std::vector<std::string> former_addresses;   // of earlier orders, latest last
  std::vector<std::string> order;              // addresses: members, then seeds, then former ones
  std::size_t position = 0;
  std::optional<TimePoint> return_at;
  std::uint32_t failed_returns = 0;  // in a row
};

}  // namespace ramppond
