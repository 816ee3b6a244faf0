// The admission level: one number that orders all work for shedding.
//
// DAGOR (Zhou et al., SoCC 2018, section 4.2) compares (business priority, user priority). Here
// the pair is (kind of work and its rank, position within it), and the position is the request's
// uniform hash divided by the weight of the caller's class. Admitting all positions below t
// admits a share min(1, t * weight) of each class: shares follow the paid weights, and no class
// is starved. All calls of one front request have the same level, so every hop ranks them alike.
#pragma once

#include <cstdint>
#include <string>

#include "core/call_model/configuration.h"

namespace ramppond {

/// An admission level; work of a lower level is shed later.
using Level = std::uint32_t;

constexpr Level kPositionsPerBand = 1024;
constexpr Level kBandCount = 3 * (kMaximumWorkRank + 1);
constexpr Level kLevelCount = kBandCount * kPositionsPerBand;
/// Level of a call without a known priority: the first to be shed.
constexpr Level kLowestLevel = kLevelCount - 1;

/// The level of a front request; its position is derived from a hash of `request_id`.
Level admissionLevel(const WorkType& work_type, std::uint32_t class_weight,
                     const std::string& request_id);

/// The kind of work that a level belongs to.
WorkKind kindOfLevel(Level level);

}  // namespace ramppond
