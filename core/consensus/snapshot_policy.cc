#include "core/consensus/snapshot_policy.h"

#include <algorithm>

namespace ramppond {
namespace {

// A log smaller than this is applied in negligible time, so it needs no
// snapshot, however small the last one was.
constexpr std::uint64_t min_log_bytes = 256U << 10U;

}  // namespace

auto snapshot_policy::is_due() const -> bool {
  if (this->entries >= this->limits.entries) {
    return true;
  }
  if (this->limits.max_log_ratio == 0) {
    return false;
  }
  const auto allowed = this->snapshot.value * this->limits.max_log_ratio;
  return this->log.value >= std::max(allowed, min_log_bytes);
}

}  // namespace ramppond
