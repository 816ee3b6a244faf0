// Keeps the requests that one server gets within a rate, and knows how much is offered to it.
//
// Input: the rate in force, each request that is offered, each one that is dispatched and those of
// them that never reached the server (times in microseconds). Output: whether a request may be
// dispatched now, when places come free, and the demand. Owns a token bucket and the smoothed count
// of offers; relies on seeing every request to the server. Pure, not thread safe.
//
// A change of the rate hands out no places: the bucket begins empty when a rate comes into force
// and never holds more than the new rate allows.
#pragma once

#include <cstddef>
#include <optional>

#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

class rate_bucket {
 public:
  /// Nothing: every request may be dispatched.
  void set(std::optional<request_rate> rate, TimePoint now);
  [[nodiscard]] auto is_limited() const -> bool { return this->rate.has_value(); }

  /// A request was offered, whatever becomes of it.
  void on_offer(TimePoint now);
  /// Takes the place of one request; false if there is none now.
  auto take(TimePoint now) -> bool;
  /// A request that took a place has not reached the server and will not.
  void return_token(TimePoint now);

  /// Time until `places` requests may have been dispatched, if nobody else takes a place.
  [[nodiscard]] auto wait_for(std::size_t places, TimePoint now) const -> Duration;
  /// Requests offered of late as a multiple of the rate; 0 without one.
  [[nodiscard]] auto demand(TimePoint now) const -> double;

 private:
  [[nodiscard]] auto capacity() const -> double;
  [[nodiscard]] auto places_at(TimePoint now) const -> double;
  [[nodiscard]] auto offers_at(TimePoint now) const -> double;
  void refill(TimePoint now);

  std::optional<double> rate;  // requests a second
  double places = 0;           // at `refilled`
  TimePoint refilled{0};
  double offers = 0;  // within the smoothing time, at `last_offer`
  TimePoint last_offer{0};
};

}  // namespace ramppond
