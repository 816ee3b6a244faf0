// Tells calls of a server from requests of clients, and which routes call which.
//
// Both reach the daemon beside the server on the same address and in the same
// form. A call ends with its parent's deadline, and the daemon has handed out
// the deadline of every request that its server runs. So a request that ends
// later than all of them is no call; one that ends with one of them is its
// call; one that only requests of one route could have made is theirs. Where
// one run alone ends with a call, the calls that it has made so far are known,
// and by what runs of its route make, how many are still to come. Pure, not
// thread safe.
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

/// What is known of the request that a daemon's own machine sends.
struct attributed_request {
  request_origin origin = request_origin::client;
  /// Calls that its run will still make after it, if the run is known.
  std::optional<std::uint32_t> calls_to_come = std::nullopt;
  /// Some run that may have made it is a repeat.
  bool of_repeat = false;
};

class call_attribution {
 public:
  /// Names one run of a request at the server.
  using run_id = std::uint64_t;

  /// The server was handed a request of `route` that ends at `deadline`; it is a repeat if some
  /// server may have run it before, or if a repeat called it.
  void on_begun(run_id id, const std::string& route, TimePoint deadline, bool repeat = false);
  /// It ended; `whole` if the server did all of it.
  void on_ended(run_id id, bool whole = false);

  /// A request of `route` began on this machine; its sender waits until
  /// `deadline`.
  auto on_request(const std::string& route, TimePoint deadline) -> attributed_request;

  /// Whether requests of `route` that begin on this machine come from clients, as
  /// far as seen.
  [[nodiscard]] auto comes_from_clients(const std::string& route) const -> bool;

  /// The routes that requests of `route` call, as far as known.
  [[nodiscard]] auto calls_of(const std::string& route) const -> std::vector<std::string>;

 private:
  struct run {
    std::string route;
    TimePoint deadline;
    bool repeat = false;
    std::uint32_t calls = 0;  // that are known to be its own
  };
  struct callee {
    double client_share = 0;  // of its requests, smoothed
    bool seen = false;
    std::map<std::string, std::uint32_t> callers;  // route to calls attributed
    std::uint32_t attributed = 0;
  };

  [[nodiscard]] auto only_caller(TimePoint deadline) const -> const std::string*;
  void attribute_to_run(TimePoint deadline, attributed_request& request);

  std::map<run_id, run> runs;
  std::map<std::string, callee> callees;
  std::map<std::string, double> calls_a_run;  // most by route of late
};

}  // namespace ramppond
