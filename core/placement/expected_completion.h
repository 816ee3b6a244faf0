// Placement policy: selects a server that is expected to complete the request early.
//
// Input: the candidates of one service with their reported load and slowdown
// (core/placement/reported_load.h), the request, the time (microseconds). Output: one candidate,
// and the servers that must be sent a load query. Owns a random number generator and the load
// queries that are due. No I/O; not thread safe.
//
// The time to completion is the service time of the route, times the slowdown of the machine, plus
// the wait for a slot. If each proxy selected the best of all servers by reports of different age,
// many proxies would select the same one. Each therefore draws a server at random, in proportion to
// what its slots and speed justify, and selects the best of it and of those with a fresh report.
// While the service is scarce and few reports are fresh, servers that later requests may select are
// sent a load query now, so that no request waits for its result (as in Prequal; Wydrowski et al.,
// NSDI 2024). A result is a report like any other: it is fresh for a short time and for a few
// requests.
//
// A request leaves its zone only if it is expected to complete earlier elsewhere by more than the
// round trip and a margin. Without reports, core/placement/utilization_cost.h selects the server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/placement/known_instance.h"
#include "core/placement/placement_request.h"
#include "core/placement/utilization_cost.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

struct expected_completion_options {
  std::string zone;
  std::uint64_t random_seed = 1;
  bool load_queries = true;
};

class expected_completion {
 public:
  explicit expected_completion(const expected_completion_options& options);

  /// Returns one of the candidates; nullptr if there is none.
  auto choose(const std::vector<KnownInstance*>& candidates, const placement_request& request)
      -> KnownInstance*;

  /// Returns the servers that must be sent a load query because of the last choose(), at most two,
  /// and forgets them.
  auto take_load_queries() -> std::vector<KnownInstance*>;

 private:
  struct estimate {
    KnownInstance* instance = nullptr;
    double service = 0;  // service time in microseconds; 0 for unknown
    double time = 0;     // to completion, in microseconds; the wait is weighted
    double weight = 0;   // requests per microsecond that it can complete, less if it fails many
    bool fresh = false;  // its load report is fresh
  };
  /// The candidates of the own zone, or all others, with sums over them.
  struct server_group {
    std::vector<estimate> servers;
    double weight = 0;
    double requests = 0;
    double slots = 0;
    std::size_t fresh = 0;  // servers with a fresh report
  };

  /// Reference values over the candidates of one service.
  struct ordinary_server {
    double service = 0;                 // mean service time in microseconds
    std::uint32_t failed_permille = 0;  // median share of failed requests
  };

  /// Sorts the candidates that no other precedes into the groups. Returns std::nullopt if none of
  /// them reported a service time lately.
  auto collect(const std::vector<KnownInstance*>& candidates, const placement_request& request)
      -> std::optional<ordinary_server>;
  /// Fills in the estimate of a server by its own report.
  static void estimate_alone(estimate& server, const ordinary_server& ordinary, TimePoint now);
  /// Fills in the estimates of the servers of a group and its sums.
  void estimate_times(server_group& group, const ordinary_server& ordinary, TimePoint now);
  /// Draws a server with a probability proportional to its weight; nullptr if the group is empty.
  auto draw(const server_group& group) -> const estimate*;
  /// Returns the best of a drawn server and of those with a fresh report; nullptr if the group is
  /// empty.
  auto best_of(const server_group& group) -> const estimate*;
  /// Selects the servers that are sent a load query. `zone_is_busy`: its best server has a wait.
  void plan_load_queries(bool zone_is_busy, TimePoint now);

  std::string zone;
  bool queries_load;
  Random random;
  utilization_cost without_reports;     // used while no service time is known
  std::vector<KnownInstance*> queries;  // load queries that are due
  // Of the current choose(); members to reuse their memory.
  server_group own_zone;
  server_group other_zones;
  std::vector<std::uint32_t> failed;  // memory for median_failed_permille()
};

}  // namespace ramppond
