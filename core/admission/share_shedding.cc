#include "core/admission/share_shedding.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// With a shorter time the excess follows the reports of single servers; with a longer one, callers
// within their shares meet full servers until it has followed.
constexpr auto smoothing_time = milliseconds(300);
// Part of the refused share that an answer without excess confirms. The rest is released, so that a
// caller that returns to its usual volume is served within seconds.
constexpr double confirmed_part = 0.9;
// Time constant of the decay of an excess that is no longer reported; as that of a shed level in
// downstream_overload.cc.
constexpr auto unreported_decay_time = milliseconds(1000);
// Lower values are bursts of single callers and cause no refusals.
constexpr double min_excess = 0.01;
// Some requests must pass, so that their answers tell whether the caller still exceeds its share.
constexpr double max_share = 0.8;
// Bounds memory. The excess of further callers stays unknown, and their servers refuse them.
constexpr std::size_t max_entries = 10000;
constexpr auto removal_interval = seconds(1);
constexpr double thousandths = 1000;
constexpr std::uint32_t max_permille = 1000;

auto decay(Duration age, Duration time) -> double {
  return std::exp(-static_cast<double>(std::max(age, Duration(0)).count()) /
                  static_cast<double>(time.count()));
}

// The share to refuse of the whole demand, if the servers saw `reported` of what was left when
// `refused` was refused.
auto wanted_share(reported_excess reported, double refused) -> double {
  const auto seen = std::min(reported.permille, max_permille) / thousandths;
  return seen > 0 ? 1 - (1 - refused) * (1 - seen) : refused * confirmed_part;
}

auto permille_of(double excess) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::lround(std::clamp(excess, 0.0, 1.0) * thousandths));
}

}  // namespace

auto excess_to_report(const observed_excess& own, reported_excess downstream) -> reported_excess {
  return {std::max(permille_of(std::max(own.when_judged, own.now)), downstream.permille)};
}

auto share_shedding::value_at(const smoothed_excess& excess, TimePoint now) -> double {
  return excess.value * decay(now - excess.reported, unreported_decay_time);
}

void share_shedding::remove_faded(TimePoint now) {
  if (now - this->removed_faded < removal_interval) {
    return;
  }
  this->removed_faded = now;
  for (auto it = this->known.begin(); it != this->known.end();) {
    it = value_at(it->second, now) < min_excess ? this->known.erase(it) : std::next(it);
  }
}

void share_shedding::on_answer(const std::string& service, const std::string& caller,
                               reported_excess reported, double refused, TimePoint now) {
  const auto sample = wanted_share(reported, std::clamp(refused, 0.0, max_share));
  const auto key = std::make_pair(caller, service);
  auto found = this->known.find(key);
  if (found == this->known.end()) {
    if (sample == 0) {
      return;
    }
    if (this->known.size() >= max_entries) {
      this->remove_faded(now);
    }
    if (this->known.size() >= max_entries) {
      return;
    }
    found = this->known.emplace(key, smoothed_excess{0, now - Duration(smoothing_time)}).first;
  }
  auto& excess = found->second;
  const auto kept = decay(now - excess.reported, smoothing_time);
  excess.value = excess.value * kept + sample * (1 - kept);
  excess.reported = now;
  if (excess.value < min_excess / thousandths) {
    this->known.erase(found);
  }
}

auto share_shedding::share(const std::string& service, const std::string& caller,
                           TimePoint now) const -> double {
  const auto found = this->known.find({caller, service});
  const auto value = found == this->known.end() ? 0 : value_at(found->second, now);
  return value < min_excess ? 0 : std::min(value, max_share);
}

auto share_shedding::highest(const std::string& caller, TimePoint now) const -> reported_excess {
  auto highest = 0.0;
  for (auto it = this->known.lower_bound({caller, std::string()});
       it != this->known.end() && it->first.first == caller; ++it) {
    highest = std::max(highest, value_at(it->second, now));
  }
  return {permille_of(highest)};
}

}  // namespace ramppond
