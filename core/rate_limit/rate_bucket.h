// Token bucket that limits the requests to one server to a rate, and measures the demand.
//
// Input: the rate in effect, each offered request, each dispatched request and the dispatched
// requests that were not sent to the server (times in microseconds). Output: whether a request may
// be dispatched now, when tokens become available, and the demand. Owns the token bucket and the
// smoothed number of offers. Relies on seeing every request to the server. No I/O; not thread safe.
//
// A change of the rate adds no tokens: the bucket is empty when a rate takes effect and never holds
// more than the new rate allows.
#pragma once

#include <cstddef>
#include <optional>

#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

class rate_bucket {
 public:
  /// Sets the rate. With std::nullopt every request may be dispatched.
  void set(std::optional<request_rate> rate, TimePoint now);
  [[nodiscard]] auto is_limited() const -> bool { return this->rate.has_value(); }

  /// Records that a request was offered, regardless of what happens to it.
  void on_offer(TimePoint now);
  /// Takes one token. Returns false if there is none.
  auto take(TimePoint now) -> bool;
  /// Returns the token of a request that was not and will not be sent to the server.
  void return_token(TimePoint now);

  /// Time until `tokens` tokens are available if none is taken meanwhile.
  [[nodiscard]] auto wait_for(std::size_t tokens, TimePoint now) const -> Duration;
  /// Recently offered requests as a multiple of the rate; 0 without a rate.
  [[nodiscard]] auto demand(TimePoint now) const -> double;

 private:
  [[nodiscard]] auto capacity() const -> double;
  [[nodiscard]] auto tokens_at(TimePoint now) const -> double;
  [[nodiscard]] auto offers_at(TimePoint now) const -> double;
  void refill(TimePoint now);

  std::optional<double> rate;  // requests per second
  double tokens = 0;           // at `refilled`
  TimePoint refilled{0};
  double offers = 0;  // smoothed number at `last_offer`
  TimePoint last_offer{0};
};

}  // namespace ramppond
