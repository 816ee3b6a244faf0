#include "core/traffic/traffic_state.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {

TrafficResult TrafficState::apply(const TrafficReplacement& replacement, std::uint64_t log_index) {
  const TrafficConfiguration& next = replacement.configuration;
  const AppliedReplacement requested = {
      next.number, replacement.base_number,
      XXH3_64bits(replacement.document.data(), replacement.document.size())};
  if (wasApplied(requested)) {
    return {};
  }
  if (auto error = validateTraffic(next)) {
    return {ErrorKind::kMalformedRequest, *error};
  }
  if (replacement.base_number != configuration_.number) {
    return {ErrorKind::kVersionConflict,
            "built on version " + std::to_string(replacement.base_number) + ", but " +
                std::to_string(configuration_.number) + " is in force"};
  }
  if (next.number <= configuration_.number) {
    return {ErrorKind::kMalformedRequest,
            "version: expected above " + std::to_string(configuration_.number)};
  }
  log_index_ = log_index;
  configuration_ = next;
  document_ = replacement.document;
  applied_.push_back(requested);
  if (applied_.size() > kMaxRememberedReplacements) {
    applied_.pop_front();
  }
  return {};
}

bool TrafficState::wasApplied(const AppliedReplacement& requested) const {
  return std::any_of(applied_.rbegin(), applied_.rend(), [&](const AppliedReplacement& applied) {
    return applied.number == requested.number && applied.base_number == requested.base_number &&
           applied.checksum == requested.checksum;
  });
}

TrafficSnapshot TrafficState::snapshot() const {
  TrafficSnapshot snapshot;
  snapshot.log_index = log_index_;
  snapshot.configuration = configuration_;
  snapshot.document = document_;
  snapshot.applied.assign(applied_.begin(), applied_.end());
  return snapshot;
}

void TrafficState::restore(const TrafficSnapshot& snapshot) {
  log_index_ = snapshot.log_index;
  configuration_ = snapshot.configuration;
  document_ = snapshot.document;
  applied_.assign(snapshot.applied.begin(), snapshot.applied.end());
}

}  // namespace ramppond
