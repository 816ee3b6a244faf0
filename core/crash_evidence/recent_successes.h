// Which requests succeeded of late at the server beside this proxy.
//
// Owns the digests of the last 15 to 30 s, bounded. A request that crashes servers
// never succeeds, so what is listed here is innocent of a crash: the most popular
// requests, which are under way at most crashes, are cleared by this first. Pure,
// not thread safe.
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

  // Two generations: what is added goes to the newer one, the older one is dropped
  // whole.
  std::unordered_set<request_digest> newer;
  std::unordered_set<request_digest> older;
  TimePoint turned{0};
};

}  // namespace ramppond
