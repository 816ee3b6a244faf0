#include "core/call_model/priority.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {

Level admissionLevel(const WorkType& work_type, std::uint32_t class_weight,
                     const std::string& request_id) {
  const std::uint64_t hash = XXH3_64bits(request_id.data(), request_id.size());
  const std::uint32_t weight = std::clamp<std::uint32_t>(class_weight, 1, kMaximumClassWeight);
  const auto position = static_cast<Level>((hash % kPositionsPerBand) / weight);
  const std::uint32_t rank = std::min(work_type.rank, kMaximumWorkRank);
  const Level band = static_cast<Level>(work_type.kind) * (kMaximumWorkRank + 1) + rank;
  return band * kPositionsPerBand + position;
}

WorkKind kindOfLevel(Level level) {
  const Level band = std::min(level, kLowestLevel) / kPositionsPerBand;
  return static_cast<WorkKind>(band / (kMaximumWorkRank + 1));
}

}  // namespace ramppond
