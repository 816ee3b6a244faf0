#include "core/consensus/snapshot_policy.h"

#include <algorithm>

namespace ramppond {
namespace {

// A log smaller than this is applied in no time, whatever the snapshot's size.
constexpr std::uint64_t least_log_bytes = 256U << 10U;

}  // namespace

auto snapshot_policy::is_due() const -> bool {
  if (this->entries >= this->limits.entries) {
    return true;
  }
  if (this->limits.max_log_ratio == 0) {
    return false;
  }
  const auto allowed = this->snapshot.value * this->limits.max_log_ratio;
  return this->log.value >= std::max(allowed, least_log_bytes);
}

}  // namespace ramppond
