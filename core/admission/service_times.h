// Estimates how long one server takes for a request, over all routes or by route.
//
// Input: when each request was dispatched to the server, when it ended and whether the server did
// it (`TimePoint`s in microseconds). Output: a service time, which the queue in front of the server
// and the choice among servers reckon with. Owns the estimates; relies on one on_ended() for each
// on_begun(). Pure, not thread safe.
//
// The choice among servers compares times of the same route only: requests of one route may take
// many times as long as those of another and no two servers have the same mix, so mean times over
// all routes say little about speed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace ramppond {

/// The service time of one kind of request at one server.
class service_time_estimate {
 public:
  service_time_estimate() = default;
  /// `initial` stands for the service time until requests were done.
  explicit service_time_estimate(Duration initial) : smoothed_time(initial) {}

  void on_begun(TimePoint now);

  /// `done` tells whether the server did the request that began at `begun`. One that it failed at
  /// once says nothing about its speed. Ignored if nothing is under way.
  void on_ended(TimePoint begun, bool done, TimePoint now);

  /// Requests that began and have not ended.
  [[nodiscard]] auto under_way() const -> std::int64_t { return this->begun_count; }

  /// The smoothed time of requests that were done; nothing before the first.
  [[nodiscard]] auto smoothed() const -> std::optional<Duration> { return this->smoothed_time; }

  /// The smoothed time, or the mean age of requests under way if that is longer: a server that
  /// turns slow shows before it answers. Nothing before the first request was done.
  [[nodiscard]] auto current(TimePoint now) const -> std::optional<Duration>;

 private:
  std::optional<Duration> smoothed_time;
  std::int64_t begun_count = 0;
  Duration begun_sum{0};  ///< Of the times at which requests under way began.
};

/// The service times of one server by route.
class service_times {
 public:
  void on_begun(const std::string& route, TimePoint now);
  void on_ended(const std::string& route, TimePoint begun, bool done, TimePoint now);

  /// As service_time_estimate::current(); nothing for routes that are not known.
  [[nodiscard]] auto of(const std::string& route, TimePoint now) const -> std::optional<Duration>;

 private:
  std::map<std::string, service_time_estimate> routes;
};

}  // namespace ramppond
