// What the daemon beside a server tells of requests that may have ended it.
//
// One record for each instance of a server, written by that daemon alone; the
// record with the highest revision replaces the others, in whatever order they
// come, so any member of the control group and any daemon may pass it on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

/// How long an end counts against the requests that were under way at it.
constexpr auto evidence_lifetime = std::chrono::duration_cast<Duration>(std::chrono::minutes(30));
/// A server works on a few hundred requests at a time at most; of a longer list
/// the first are taken.
constexpr auto most_under_way = std::size_t(256);
constexpr auto most_succeeded = std::size_t(64);

struct instance_evidence {
  std::string instance_id;
  std::string service;
  std::uint64_t revision = 0;
  Duration age{0};  // since its last change, when it was sent
  /// Requests that the server was at work on when it ended without a word, but
  /// for those that had ended well there of late; empty while it runs.
  std::vector<request_digest> under_way;
  /// Those of them that were begun under suspicion, so that they ran alone.
  std::vector<request_digest> isolated;
  /// Requests under suspicion that ended well at it.
  std::vector<request_digest> succeeded;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, instance_id);
    visitor(2, service);
    visitor(3, revision);
    visitor(4, age);
    visitor(5, under_way);
    visitor(6, isolated);
    visitor(7, succeeded);
  }
};

}  // namespace ramppond
