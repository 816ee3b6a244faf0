// The level up to which a server serves what it is sent, learned window by window.
//
// The queue alone decides what is refused here; the cut tells others what would be refused, so
// that they do not send it. As in DAGOR (SoCC 2018, section 4.2.3) a histogram of the levels that
// arrive is cut where the server's measured throughput is used up.
#pragma once

#include <cstdint>
#include <map>

#include "core/call_model/priority.h"
#include "core/time.h"

namespace ramppond {

class AdmissionCut {
 public:
  void onArrival(Level level, TimePoint now);
  void onDispatched() { dispatched_ += 1; }
  /// A call was refused because better ones used up the server.
  void onOverloadRefusal() { refused_ += 1; }
  /// Closes a window when it is due.
  void update(TimePoint now);

  /// Work above this level is being refused; kLowestLevel when nothing is.
  [[nodiscard]] Level cut() const { return cut_; }
  /// Share of the last window's arrivals that were refused, 0 to 1.
  [[nodiscard]] double refusedShare() const { return refused_share_; }

 private:
  void lower(double capacity);
  void raise();
  [[nodiscard]] Level raisedBy(Level positions) const;

  std::map<Level, std::uint32_t> arrivals_;  ///< Of this window.
  std::map<Level, TimePoint> bands_;         ///< Bands in use, with the last arrival.
  std::uint32_t arrived_ = 0;
  std::uint32_t dispatched_ = 0;
  std::uint32_t refused_ = 0;
  double capacity_ = 0;
  double refused_share_ = 0;
  Level raise_step_ = 0;
  Level cut_ = kLowestLevel;
  TimePoint window_end_{0};
};

}  // namespace ramppond
