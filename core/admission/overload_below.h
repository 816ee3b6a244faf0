// What is known of overload at the services that requests of each route need.
//
// Every answer tells the level of the server that gave it, and the levels of
// the services that its calls need. Which services a route needs is kept by
// route; the level of a service is one for all routes, so that each answer of
// any of them brings it up to date. The daemon beside a calling server passes
// the levels on with the answers of the calling routes; the daemon where a
// client's request begins refuses by them. Pure, not thread safe.
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

class overload_below {
 public:
  /// An answer to a request of `route` told these; services that it leaves out
  /// have no overload.
  void on_answer(const std::string& route, const std::vector<service_overload>& told,
                 TimePoint now);

  /// The services with overload that requests of `route` need.
  [[nodiscard]] auto of(const std::string& route, TimePoint now) const
      -> std::vector<service_overload>;

 private:
  struct smoothed {
    double value = 0;
    TimePoint told{0};
  };
  using needed_services = std::map<std::string, TimePoint>;  // name to when it was told last

  void note(const std::string& service, double told, TimePoint now);

  std::map<std::string, smoothed> levels;         // by service
  std::map<std::string, needed_services> routes;  // by name
};

/// The highest level of each service in both lists.
auto strictest(std::vector<service_overload> left, const std::vector<service_overload>& right)
    -> std::vector<service_overload>;

/// The share of requests that are refused where they begin: the least urgent
/// rank first. `less_urgent` ranks stand below theirs.
auto shed_share(shed_level level, std::uint32_t less_urgent) -> double;

}  // namespace ramppond
