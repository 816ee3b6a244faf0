// Knows the overload of the services that requests of each route call, directly or further down.
//
// Input: with each answer, the route of the request and the shed levels reported with it. Output:
// for a route, the services with overload and their shed levels (ranks of requests). Owns, for each
// route, the services that it needs, and for each service one smoothed level. Relies on every
// answer reporting the level of the server that gave it and the levels of the services that its
// calls need. Pure, not thread safe.
//
// A service has one level, whichever route's answers report it, so that each answer brings the
// level up to date for all routes. The proxy beside a calling server passes the levels on with the
// answers of the calling routes; the proxy where a client's request begins refuses by them.
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
  /// An answer to a request of `route` reported these levels; a service that it leaves out has no
  /// overload.
  void on_answer(const std::string& route, const std::vector<service_overload>& reported,
                 TimePoint now);

  /// The services with overload that requests of `route` need.
  [[nodiscard]] auto of(const std::string& route, TimePoint now) const
      -> std::vector<service_overload>;

 private:
  struct smoothed_level {
    double value = 0;  ///< In ranks, at `reported`.
    TimePoint reported{0};
  };
  using needed_services = std::map<std::string, TimePoint>;  ///< By name: when reported last.

  void add_report(const std::string& service, double level, TimePoint now);

  std::map<std::string, smoothed_level> levels;   ///< By service.
  std::map<std::string, needed_services> routes;  ///< By name.
};

/// The highest level of each service in both lists.
auto highest_levels(std::vector<service_overload> left, const std::vector<service_overload>& right)
    -> std::vector<service_overload>;

/// The share of requests of one rank to refuse where they begin, 0 to 0.8: the least urgent rank is
/// refused first. `less_urgent` is the number of ranks less urgent than theirs.
auto shed_share(shed_level level, std::uint32_t less_urgent) -> double;

}  // namespace ramppond
