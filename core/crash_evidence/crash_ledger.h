// What one daemon knows, finds out and tells of requests that end servers.
//
// Finds out what was under way when the server beside it ended, keeps its own
// records, takes those of other daemons, and judges requests by all of them.
// What it has to tell is taken by take_untold() and sent to the control group.
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
struct end_report {
  std::size_t under_way = 0;               // requests
  std::vector<request_digest> candidates;  // that did not end well here of late
  std::vector<request_digest> isolated;    // of these, begun under suspicion
};

class crash_ledger {
 public:
  [[nodiscard]] auto judge(const request_digest& digest, TimePoint now) const -> standing;

  /// Another daemon lost the last server of this request.
  void on_hearsay(const request_digest& digest, TimePoint now);
  /// See server_end_watch.
  void on_lost(const server_run& run, TimePoint now);
  void on_left(const server_run& run, TimePoint now);
  void on_alive(TimePoint begun);
  [[nodiscard]] auto is_pending() const -> bool { return this->watch.is_pending(); }
  /// Nothing if no request was under way.
  auto on_server_gone(const server_instance& server, TimePoint now) -> std::optional<end_report>;
  /// A request ended well at the server beside this daemon.
  void on_good_end(const request_digest& digest, const server_instance& server, TimePoint now);

  /// Takes what daemons beside other servers of the service tell.
  void take(const std::vector<instance_evidence>& news, const server_instance& server,
            TimePoint now);

  /// Records that others should know, since the last call.
  auto take_untold() -> std::vector<instance_evidence>;
  auto take_bars() -> std::vector<bar_verdict> { return this->verdicts.take_bars(); }
  /// Bars that were wrong.
  [[nodiscard]] auto withdrawn() const -> std::uint64_t { return this->verdicts.withdrawn(); }
  /// Requests cleared for all daemons by a good end here.
  [[nodiscard]] auto cleared() const -> std::uint64_t { return this->cleared_for_all; }

 private:
  struct own_record {
    instance_evidence evidence;
    TimePoint when{0};  // of the end, or of the last change while it runs
  };
  struct good_end {
    request_digest digest;
    TimePoint when{0};
  };
  auto record_of(const server_instance& server) -> own_record&;
  void tell(own_record& record, TimePoint now);
  void tell_good_end(const request_digest& digest, const server_instance& server, TimePoint now);
  void withdraw(const request_digest& digest, TimePoint now);

  server_end_watch watch;
  good_ends ended_well;
  request_verdicts verdicts;
  std::map<std::string, own_record> own;  // by instance
  std::deque<std::string> own_order;      // oldest first
  std::deque<good_end> told_good_ends;    // newest last
  std::vector<instance_evidence> untold;
  std::uint64_t cleared_for_all = 0;
};

}  // namespace ramppond
