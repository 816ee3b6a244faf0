// Tracks the overload of the services that requests of each route call, directly or through other
// services.
//
// Input: with each answer, the route of the request and the reported shed levels. Output: for a
// route, the overloaded services and their shed levels (in ranks of requests). Owns the services
// that each route needs and one smoothed level for each service. Relies on every answer to report
// the level of its server and the levels of the services that the server's calls need. No I/O; not
// thread safe.
//
// A service has a single level, so that an answer of any route updates it for all routes. The proxy
// beside a calling server forwards the levels with the answers of the calling routes. The proxy
// that receives a client's request uses them to refuse requests.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/admission/overload_controller.h"
#include "core/time.h"

namespace ramppond {

struct service_overload {
  std::string service;
  shed_level level;
};

class downstream_overload {
 public:
  /// Records the levels that an answer to a request of `route` reported. A service that is missing
  /// from `reported` has no overload.
  void on_answer(const std::string& route, const std::vector<service_overload>& reported,
                 TimePoint now);

  /// Returns the overloaded services that requests of `route` need.
  [[nodiscard]] auto of(const std::string& route, TimePoint now) const
      -> std::vector<service_overload>;

 private:
  struct smoothed_level {
    double value = 0;  ///< In ranks, at the time `reported`.
    TimePoint reported{0};
  };
  using needed_services = std::map<std::string, TimePoint>;  ///< By name: time of the last report.

  void record_report(const std::string& service, double level, TimePoint now);

  std::map<std::string, smoothed_level> levels;   ///< By service.
  std::map<std::string, needed_services> routes;  ///< By route name.
};

/// Merges two lists; each service keeps its highest level.
auto highest_levels(std::vector<service_overload> left, const std::vector<service_overload>& right)
    -> std::vector<service_overload>;

/// Returns the share of client requests of one rank to refuse, 0 to 0.8. The least urgent rank is
/// refused first. `less_urgent` is the number of ranks that are less urgent than this one.
auto shed_share(shed_level level, std::uint32_t less_urgent) -> double;

}  // namespace ramppond
