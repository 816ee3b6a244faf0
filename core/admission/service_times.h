// How long a server takes for the requests of each route.
//
// The servers of one service differ in speed, and one may turn slow; their mean
// times differ far more, since requests of one route take many times as long as
// those of another and no two servers have the same mix. Only times of the same
// route can be compared. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace ramppond {

class service_times {
 public:
  void on_begun(const std::string& route, TimePoint now);

  /// `done` tells whether the server did the request that began at `begun`; one
  /// that it failed at once says nothing about its speed.
  void on_ended(const std::string& route, TimePoint begun, bool done, TimePoint now);

  /// Smoothed over those that it did, or the mean age of those under way if that
  /// is longer: a server that turns slow shows at once that way. Nothing before
  /// it has done one.
  [[nodiscard]] auto of(const std::string& route, TimePoint now) const -> std::optional<Duration>;

 private:
  struct entry {
    std::optional<Duration> smoothed;
    std::int64_t under_way = 0;
    Duration begun_sum{0};  // of the times at which those under way began
  };

  std::map<std::string, entry> routes;
};

}  // namespace ramppond
