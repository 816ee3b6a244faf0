// The crash record of one instance of a server.
//
// Written by the proxy beside that server alone, with a higher revision at each
// change. The highest revision replaces the others in whatever order they come, so
// any coordinator and any proxy may pass a record on. An instance that has not
// crashed has a record only while suspected requests succeed at it. Sent and
// stored by field number: the numbers are never given anew.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

/// How long a crash counts against the requests that were under way at it. Shorter,
/// and a harmful request that is rarely sent is never found; longer, and innocent
/// ones gather crashes of other causes.
constexpr auto evidence_lifetime = std::chrono::duration_cast<Duration>(std::chrono::minutes(30));
/// A server works on a few hundred requests at a time at most; of a longer list
/// the first are taken.
constexpr auto most_under_way = std::size_t(256);
constexpr auto most_succeeded = std::size_t(64);

struct instance_evidence {
  std::string instance_id;
  std::string service;
  std::uint64_t revision = 0;
  Duration age{0};  // since its last change, at the time of sending
  /// Requests that the server was at work on when it crashed, without those that
  /// had succeeded there of late; empty while it runs.
  std::vector<request_digest> under_way;
  /// Those of them that ran isolated: begun as suspected, with no other suspected
  /// request at the server.
  std::vector<request_digest> isolated;
  /// Suspected requests that succeeded at it.
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
