// Tells when a process that stops has had nothing to do for long enough.
//
// A request has ended once its answer is handed to the connection; its bytes
// leave in a later turn of the event loop. A process that ends at the first
// idle moment would lose them. Pure, not thread safe.
#pragma once

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace ramppond {

class idle_watch {
 public:
  /// To be called now and then with the number of requests under way.
  void observe(std::size_t under_way, TimePoint now) {
    if (under_way > 0) {
      this->since.reset();
    } else if (!this->since) {
      this->since = now;
    }
  }

  [[nodiscard]] auto has_lasted(TimePoint now) const -> bool {
    return this->since && now - *this->since >= long_enough;
  }

 private:
  // Two checks of the process that stops: many turns of its loop.
  static constexpr auto long_enough = milliseconds(200);

  std::optional<TimePoint> since;
};

}  // namespace ramppond
