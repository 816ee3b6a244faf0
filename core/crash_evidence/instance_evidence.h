// The crash record of one instance of a server.
//
// Written only by the proxy beside that server, with a higher revision at each change. The highest
// revision replaces all others in whatever order they arrive, so any coordinator or proxy may
// forward a record. An instance that has not crashed has a record only if suspected requests
// succeeded at it. Sent and stored by field number; field numbers are never reused.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

/// How long a crash counts against the requests that were in flight at it. If it were shorter, a
/// harmful request that is rarely sent would never be identified; if longer, harmless requests
/// would accumulate crashes of other causes.
constexpr auto evidence_lifetime = std::chrono::duration_cast<Duration>(std::chrono::minutes(30));
/// Maximum number of requests in a crash record. A server runs at most a few hundred requests at a
/// time; a longer list is truncated.
constexpr auto max_under_way = std::size_t(256);
/// Maximum number of successful requests in a record.
constexpr auto max_succeeded = std::size_t(64);

struct instance_evidence {
  std::string instance_id;
  std::string service;
  std::uint64_t revision = 0;
  Duration age{0};  // since its last change, at the time of sending
  /// Requests in flight when the server crashed, without those that had recently succeeded there;
  /// empty while the server runs.
  std::vector<request_digest> under_way;
  /// The subset that ran isolated: started while suspected, with no other suspected request at the
  /// server.
  std::vector<request_digest> isolated;
  /// Suspected requests that succeeded at this instance.
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
