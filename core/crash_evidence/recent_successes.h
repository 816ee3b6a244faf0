// The requests that recently succeeded at the server beside this proxy.
//
// Owns the digests of the last 15 to 30 s, in bounded memory. A request that crashes servers never
// succeeds, so the listed requests cannot have caused a crash. This rules out the most frequent
// requests in particular, which are in flight at most crashes. No I/O; not thread safe.
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
  void rotate(TimePoint now);

  // Two generations: digests are added to the newer one, and the older one is dropped as a whole.
  std::unordered_set<request_digest> newer;
  std::unordered_set<request_digest> older;
  TimePoint rotated_at{0};
};

}  // namespace ramppond
