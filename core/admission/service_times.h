// Estimates the service time of one server, over all routes or by route.
//
// Input: when each request was dispatched to the server, when it ended and whether the server
// completed it (`TimePoint`s in microseconds). Output: a service time, used by the queue in front
// of the server and by load balancing. Owns the estimates. Relies on one on_ended() for each
// on_begun(). No I/O; not thread safe.
//
// Where the slowdown of the machine is known (core/admission/machine_slowdown.h), times are kept at
// usual speed and multiplied by the current slowdown.
//
// Load balancing compares the times of the same route only. Requests of one route may take many
// times as long as those of another and no two servers have the same mix, so mean times over all
// routes say little about the speed of a server.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/admission/slowdown_factor.h"
#include "core/time.h"

namespace ramppond {

/// Estimates the service time of one kind of request at one server.
class service_time_estimate {
 public:
  service_time_estimate() = default;
  /// `initial` is used until the first request is completed.
  explicit service_time_estimate(Duration initial) : smoothed_time(initial) {}

  void on_begun(TimePoint now);

  /// Records the end of a request that began at `begun`. `done` tells whether the server completed
  /// it; the duration of a failed request says nothing about the server's speed. Ignored if no
  /// request is in flight. `usual_time`: its duration at usual speed; std::nullopt if the slowdown
  /// of the machine is not known, so that its duration counts.
  void on_ended(TimePoint begun, bool done, TimePoint now,
                std::optional<Duration> usual_time = std::nullopt);

  /// Number of requests that began and have not ended.
  [[nodiscard]] auto under_way() const -> std::int64_t { return this->begun_count; }

  /// Smoothed time of completed requests at usual speed; std::nullopt before the first.
  [[nodiscard]] auto smoothed() const -> std::optional<Duration> { return this->smoothed_time; }

  /// The smoothed time at this slowdown, or the mean age of the requests in flight if that is
  /// longer, so that a slowdown shows before the server answers. std::nullopt before the first
  /// completed request.
  [[nodiscard]] auto current(TimePoint now, slowdown_factor slowdown = {}) const
      -> std::optional<Duration>;

 private:
  std::optional<Duration> smoothed_time;
  std::int64_t begun_count = 0;
  Duration begun_sum{0};  ///< Sum of the start times of the requests in flight.
};

/// Estimates the service times of one server by route.
class service_times {
 public:
  void on_begun(const std::string& route, TimePoint now);
  void on_ended(const std::string& route, TimePoint begun, bool done, TimePoint now,
                std::optional<Duration> usual_time = std::nullopt);

  /// As service_time_estimate::current(); std::nullopt for unknown routes.
  [[nodiscard]] auto of(const std::string& route, TimePoint now,
                        slowdown_factor slowdown = {}) const -> std::optional<Duration>;

 private:
  std::map<std::string, service_time_estimate> routes;
};

}  // namespace ramppond
