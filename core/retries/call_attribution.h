// Infers whether a request from the local machine is a call of the server or comes from a client,
// and learns which routes call which.
//
// Input: the runs at the server, each with its route and deadline (`TimePoint`), and each request
// that begins on the machine with its route and deadline. Output: the origin of the request, how
// many calls its run still makes, and the routes that a route calls. Owns the runs in flight and
// the statistics of each route. No I/O; not thread safe.
//
// Calls and client requests reach the proxy at the same address and in the same form. They are told
// apart by deadlines: a call has the deadline of its caller, and the proxy passed the deadline of
// every run to its server. A request with a later deadline than all runs is not a call. A request
// with the deadline of a run is a call of that run. A request that only runs of one route could
// have made is a call of that route. If exactly one run has the deadline, its calls so far are
// counted; the number of calls that complete runs of its route make tells how many remain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/request_root.h"
#include "core/time.h"

namespace ramppond {

enum class request_origin : std::uint8_t {
  client,
  server_or_unknown,
};

/// What is known about a request that began on the local machine.
struct attributed_request {
  request_origin origin = request_origin::client;
  /// Calls that its run makes after this one; std::nullopt if the run is not known.
  std::optional<std::uint32_t> remaining_calls = std::nullopt;
  /// Whether some run that may have made it is a retry.
  bool of_retry = false;
  /// Root of the run that made it, estimated from all runs that may have.
  std::optional<request_root> root = std::nullopt;
};

class call_attribution {
 public:
  /// Identifies one run of a request at the server.
  using run_id = std::uint64_t;

  /// Records that a request of `route` with this deadline was dispatched to the server. `retry`:
  /// some server may have run it before, or it is a call of a retry. `root`: of its call tree, if
  /// known.
  void on_begun(run_id id, const std::string& route, TimePoint deadline, bool retry = false,
                std::optional<request_root> root = std::nullopt);
  /// Records that the run ended; `whole` if the server completed it.
  void on_ended(run_id id, bool whole = false);

  /// Attributes a request of `route` that began on this machine. Its sender waits until `deadline`.
  auto on_request(const std::string& route, TimePoint deadline) -> attributed_request;

  /// Returns whether most requests of `route` that begin on this machine come from clients.
  [[nodiscard]] auto comes_from_clients(const std::string& route) const -> bool;

  /// Returns the routes that requests of `route` are known to call.
  [[nodiscard]] auto calls_of(const std::string& route) const -> std::vector<std::string>;

 private:
  struct run {
    std::string route;
    TimePoint deadline;
    bool retry = false;
    std::uint32_t calls = 0;  // attributed to this run alone
    std::optional<request_root> root;
  };
  struct callee {
    double client_share = 0;  // smoothed share of its requests that come from clients, 0 to 1
    bool seen = false;
    std::map<std::string, std::uint32_t> callers;  // attributed calls by calling route
    std::uint32_t attributed = 0;                  // attributed calls of all routes
  };

  [[nodiscard]] auto outlasts_all_runs(TimePoint deadline) const -> bool;
  // The route of all runs that may have made a call with this deadline; nullptr if there are
  // several.
  [[nodiscard]] auto single_caller(TimePoint deadline) const -> const std::string*;
  void learn_calls_per_run(const run& ended);
  void attribute_to_run(TimePoint deadline, attributed_request& request);
  // Estimates the root of a call to `to` by all runs of known callers of `to` that outlast it.
  // Serves calls whose root cannot be estimated by the runs with an equal deadline.
  [[nodiscard]] auto root_of_possible_runs(const callee& to, TimePoint deadline) const
      -> std::optional<request_root>;
  // Whether `route` is known to call `to`: it makes enough of the attributed calls.
  static auto is_caller(const callee& to, const std::string& route) -> bool;

  std::map<run_id, run> runs;
  std::map<std::string, callee> callees;
  std::map<std::string, double> calls_per_run;  // by route; decaying maximum
};

}  // namespace ramppond
