// What one daemon knows, finds out and tells of requests that end servers.
//
// Finds out what was under way when the server beside it ended, keeps its own
// records, takes those of other daemons, and judges requests by all of them.
// What it has to tell is taken by take_unreported() and sent to the control group.
// Pure, not thread safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/crash_evidence/crash_attribution.h"
#include "core/crash_evidence/crash_detector.h"
#include "core/crash_evidence/instance_evidence.h"
#include "core/crash_evidence/recent_successes.h"

namespace ramppond {

/// An instance of the server beside a daemon.
struct server_instance {
  std::string id;
  std::string service;
};

/// What was found at the end of the server beside this daemon.
struct crash_report {
  std::size_t under_way = 0;               // requests
  std::vector<request_digest> candidates;  // that did not end well here of late
  std::vector<request_digest> isolated;    // of these, begun under suspicion
};

class crash_ledger {
 public:
  [[nodiscard]] auto judge(const request_digest& digest, TimePoint now) const -> standing;

  /// Another daemon lost the last server of this request.
  void on_hearsay(const request_digest& digest, TimePoint now);
  /// See crash_detector.
  void on_lost(const server_run& run, TimePoint now);
  void on_left(const server_run& run, TimePoint now);
  void on_alive(TimePoint begun);
  [[nodiscard]] auto is_pending() const -> bool { return this->detector.is_pending(); }
  /// Nothing if no request was under way.
  auto on_server_gone(const server_instance& server, TimePoint now) -> std::optional<crash_report>;
  /// A request ended well at the server beside this daemon.
  void on_success(const request_digest& digest, const server_instance& server, TimePoint now);

  /// Takes what daemons beside other servers of the service tell.
  void take(const std::vector<instance_evidence>& news, const server_instance& server,
            TimePoint now);

  /// Records that others should know, since the last call.
  auto take_unreported() -> std::vector<instance_evidence>;
  auto take_blocks() -> std::vector<block_decision> { return this->attribution.take_blocks(); }
  /// Bars that were wrong.
  [[nodiscard]] auto withdrawn_blocks() const -> std::uint64_t {
    return this->attribution.withdrawn_blocks();
  }
  /// Requests cleared for all daemons by a good end here.
  [[nodiscard]] auto cleared() const -> std::uint64_t { return this->cleared_for_all; }

 private:
  struct own_record {
    instance_evidence evidence;
    TimePoint when{0};  // of the end, or of the last change while it runs
  };
  struct reported_success {
    request_digest digest;
    TimePoint when{0};
  };
  auto record_of(const server_instance& server) -> own_record&;
  void report_record(own_record& record, TimePoint now);
  void report_success(const request_digest& digest, const server_instance& server, TimePoint now);
  void withdraw(const request_digest& digest, TimePoint now);

  crash_detector detector;
  recent_successes successes;
  crash_attribution attribution;
  std::map<std::string, own_record> own;            // by instance
  std::deque<std::string> own_order;                // oldest first
  std::deque<reported_success> reported_successes;  // newest last
  std::vector<instance_evidence> unreported;
  std::uint64_t cleared_for_all = 0;
};

}  // namespace ramppond
