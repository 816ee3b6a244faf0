// Decides whether a request from the own machine is a call of the server or comes from a client,
// and learns which routes call which.
//
// Input: the runs that the server was given, each with its route and deadline (`TimePoint`), and
// each request that begins on the machine with its route and deadline. Output: the origin of the
// request, how many calls its run still makes, and the routes that a route calls. Owns the runs
// under way and what was learned by route. Pure, not thread safe.
//
// Calls and client requests reach the proxy at the same address and in the same form. A call ends
// at its caller's deadline, and the proxy has handed out the deadline of every run of its server.
// So a request with a later deadline than all runs is no call; one with the deadline of a run is a
// call of that run; one that only runs of one route could have made is a call of that route. Where
// a single run has the deadline, the calls that it made so far are counted, and the calls that
// whole runs of its route make tell how many are still to come.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace ramppond {

enum class request_origin : std::uint8_t {
  client,
  server_or_unknown,
};

/// What is known of a request that began on the own machine.
struct attributed_request {
  request_origin origin = request_origin::client;
  /// Calls that its run still makes after it; nothing if the run is not known.
  std::optional<std::uint32_t> remaining_calls = std::nullopt;
  /// Some run that may have made it is a retry.
  bool of_retry = false;
};

class call_attribution {
 public:
  /// Identifies one run of a request at the server.
  using run_id = std::uint64_t;

  /// The server was given a request of `route` with this deadline. It is a retry if some server may
  /// have run it before, or if a retry called it.
  void on_begun(run_id id, const std::string& route, TimePoint deadline, bool retry = false);
  /// The run ended; `whole` if the server did all of it.
  void on_ended(run_id id, bool whole = false);

  /// A request of `route` began on this machine; its sender waits until `deadline`.
  auto on_request(const std::string& route, TimePoint deadline) -> attributed_request;

  /// Whether most requests of `route` that begin on this machine come from clients.
  [[nodiscard]] auto comes_from_clients(const std::string& route) const -> bool;

  /// The routes that requests of `route` call, as far as known.
  [[nodiscard]] auto calls_of(const std::string& route) const -> std::vector<std::string>;

 private:
  struct run {
    std::string route;
    TimePoint deadline;
    bool retry = false;
    std::uint32_t calls = 0;  // attributed to it alone
  };
  struct callee {
    double client_share = 0;  // of its requests, smoothed; 0 to 1
    bool seen = false;
    std::map<std::string, std::uint32_t> callers;  // by route: calls attributed to it
    std::uint32_t attributed = 0;                  // calls, to all routes together
  };

  [[nodiscard]] auto outlives_all_runs(TimePoint deadline) const -> bool;
  // The route of all runs that may have made a call with this deadline, if it is one route.
  [[nodiscard]] auto only_caller(TimePoint deadline) const -> const std::string*;
  void learn_calls_per_run(const run& ended);
  void attribute_to_run(TimePoint deadline, attributed_request& request);

  std::map<run_id, run> runs;
  std::map<std::string, callee> callees;
  std::map<std::string, double> calls_per_run;  // by route; the most of late, decaying
};

}  // namespace ramppond
