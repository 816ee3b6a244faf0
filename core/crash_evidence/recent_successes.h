// Which requests ended well at a server of late. A request that crashes the
// servers that run it ends no run well, so this clears requests that were merely
// beside it, the more often sent ones first: they are under way at most ends.
// Pure, not thread safe.
#pragma once

#include <unordered_set>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

class recent_successes {
 public:
  void add(const request_digest& digest, TimePoint now);
  [[nodiscard]] auto contains(const request_digest& digest, TimePoint now) const -> bool;

 private:
  void turn(TimePoint now);

  // Two halves: what is added goes to the newer one, the older one is dropped
  // whole.
  std::unordered_set<request_digest> newer;
  std::unordered_set<request_digest> older;
  TimePoint turned{0};
};

}  // namespace ramppond
