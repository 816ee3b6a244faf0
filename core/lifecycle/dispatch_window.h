// Which requests a stopping proxy still passes on to a server.
//
// Input: the times of the planned stop (microseconds), and at each question the deadline of a
// request. Output: yes or no. Immutable; thread safe.
//
// The end of a request may arrive long after its beginning, up to the end of the grace period. What
// is passed on then is cut by the end of the process, and its client cannot know whether it has
// run. A request that is not passed on gets an answer that says so. How long a server works is not
// known beforehand, so that late requests are passed on only if their deadline bounds it.
#pragma once

#include "core/lifecycle/planned_stop.h"
#include "core/time.h"

namespace ramppond {

/// Open without limit until half of the grace period, then for what ends in time.
class dispatch_window {
 public:
  /// `requested`: when the stop was requested.
  constexpr dispatch_window(stop_times times, TimePoint requested)
      : closes(requested + times.close_latest), process_ends(requested + times.end_latest) {}

  /// Returns whether a request with this deadline, which no server has received, may be passed on
  /// at `now`.
  [[nodiscard]] constexpr auto admits(TimePoint deadline, TimePoint now) const -> bool {
    return now < this->closes || deadline <= this->process_ends;
  }

 private:
  TimePoint closes;
  TimePoint process_ends;
};

}  // namespace ramppond
