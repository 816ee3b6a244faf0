#include "core/traffic/traffic_state.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {

TrafficResult TrafficState::apply(const TrafficReplacement& replacement, std::uint64_t log_index) {
  const TrafficConfiguration& next = replacement.configuration;
  const TakenReplacement wanted = {
      next.number, replacement.base_number,
      XXH3_64bits(replacement.document.data(), replacement.document.size())};
  if (wasTaken(wanted)) {
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
  taken_.push_back(wanted);
  if (taken_.size() > kRememberedReplacements) {
    taken_.pop_front();
  }
  return {};
}

bool TrafficState::wasTaken(const TakenReplacement& wanted) const {
  return std::any_of(taken_.rbegin(), taken_.rend(), [&](const TakenReplacement& taken) {
    return taken.number == wanted.number && taken.base_number == wanted.base_number &&
           taken.checksum == wanted.checksum;
  });
}

TrafficSnapshot TrafficState::snapshot() const {
  TrafficSnapshot snapshot;
  snapshot.log_index = log_index_;
  snapshot.configuration = configuration_;
  snapshot.document = document_;
  snapshot.taken.assign(taken_.begin(), taken_.end());
  return snapshot;
}

void TrafficState::restore(const TrafficSnapshot& snapshot) {
  log_index_ = snapshot.log_index;
  configuration_ = snapshot.configuration;
  document_ = snapshot.document;
  taken_.assign(snapshot.taken.begin(), snapshot.taken.end());
}

}  // namespace ramppond
