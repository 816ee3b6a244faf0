// Many daemons' control side in one process, for runs at the size of a large fleet.
//
// Every hollow daemon has the ControlSession that the daemon process has, over the same client and
// codec; it has no back end, no call port and no calls. Sessions are split into shards of one
// thread and one client each, so that the cost of a session is not that of a large poll set.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "common/metrics.h"
#include "core/router.h"

namespace ramppond {

struct HollowOptions {
  std::vector<std::string> control_addresses;
  std::vector<ServerInfo> servers;  ///< The whole platform list.
  std::size_t first = 0;            ///< Of `servers`: the daemons that run here.
  std::size_t count = 0;
  std::size_t interests_per_daemon = 5;  ///< Services that each daemon calls.
  std::uint64_t random_seed = 1;
};

/// Servers of a made-up fleet: `count` servers of `services` services in `zones` zones.
std::vector<ServerInfo> makeServerList(std::size_t count, std::size_t services, std::size_t zones);

class HollowFleet {
 public:
  explicit HollowFleet(HollowOptions options);
  ~HollowFleet();
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  /// Restarts the first `count` daemons: new incarnations that know nothing.
  void restart(std::size_t count);
  /// JSON: for each version, when daemons put it in force (monotonic microseconds).
  [[nodiscard]] std::string versionsJson() const;
  [[nodiscard]] MetricsPage metrics() const;

 private:
  class Shard;
  HollowOptions options_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace ramppond
