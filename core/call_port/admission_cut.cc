#include "core/call_port/admission_cut.h"

#include <algorithm>

namespace ramppond {
namespace {

constexpr Duration kWindow = milliseconds(100);
constexpr Duration kBandMemory = seconds(60);
constexpr double kCapacitySmoothing = 0.3;
// The cut aims slightly above the throughput, so that the queue never runs dry.
constexpr double kHeadroom = 1.05;
// First raise after an overload, in positions; doubled in each further quiet window, so that a
// band (1024 positions) is open again after seven windows.
constexpr Level kFirstRaise = 16;

}  // namespace

void AdmissionCut::onArrival(Level level, TimePoint now) {
  arrivals_[level] += 1;
  arrived_ += 1;
  bands_[level / kPositionsPerBand] = now;
}

void AdmissionCut::update(TimePoint now) {
  if (now < window_end_) {
    return;
  }
  window_end_ = now + kWindow;
  capacity_ += kCapacitySmoothing * (dispatched_ - capacity_);
  refused_share_ = arrived_ == 0 ? 0 : std::min(1.0, static_cast<double>(refused_) / arrived_);
  if (refused_ > 0) {
    lower(std::max<double>(dispatched_, capacity_));
  } else {
    raise();
  }
  arrivals_.clear();
  arrived_ = dispatched_ = refused_ = 0;
  for (auto band = bands_.begin(); band != bands_.end();) {
    band = now - band->second > kBandMemory ? bands_.erase(band) : std::next(band);
  }
}

void AdmissionCut::lower(double capacity) {
  raise_step_ = 0;
  double admitted = 0;
  Level cut = 0;
  for (const auto& [level, count] : arrivals_) {
    admitted += count;
    if (admitted > capacity * kHeadroom) {
      break;
    }
    cut = level;
  }
  cut_ = std::min(cut_, cut);
}

void AdmissionCut::raise() {
  if (cut_ == kLowestLevel) {
    return;
  }
  raise_step_ = raise_step_ == 0 ? kFirstRaise : raise_step_ * 2;
  cut_ = raisedBy(raise_step_);
}

// Moves the cut up through the bands in use only; above the last of them it opens fully.
Level AdmissionCut::raisedBy(Level positions) const {
  Level cut = cut_;
  auto band = bands_.lower_bound(cut / kPositionsPerBand);
  while (band != bands_.end()) {
    const Level band_start = band->first * kPositionsPerBand;
    const Level band_end = band_start + kPositionsPerBand - 1;
    cut = std::max(cut, band_start);
    const Level room = band_end - cut;
    if (positions <= room) {
      return cut + positions;
    }
    positions -= room;
    cut = band_end;
    ++band;
  }
  return kLowestLevel;
}

}  // namespace ramppond
