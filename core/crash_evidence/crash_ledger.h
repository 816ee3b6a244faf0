// What one proxy knows of requests that crash servers, observed at the server beside it and
// reported by the proxies beside other servers of the service.
//
// Combines crash_detector (requests in flight at a crash), recent_successes (requests that cannot
// have caused it) and crash_attribution (the request that caused it). Owns the crash records of the
// instances beside this proxy, which no other process writes, and the recent successes there.
// Relies on the caller to send the result of take_unreported() to the control group and to pass
// records received from there to take(). No I/O; not thread safe.
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

/// An instance of the server beside a proxy.
struct server_instance {
  std::string id;  // of this start of the server
  std::string service;
};

/// The findings at a crash of the server beside this proxy.
struct crash_report {
  std::size_t under_way = 0;               // number of requests in flight
  std::vector<request_digest> candidates;  // without those that succeeded here recently
  std::vector<request_digest> isolated;    // subset of the candidates; see server_run
};

class crash_ledger {
 public:
  /// Returns how a request may run at the server beside this proxy.
  [[nodiscard]] auto judge(const request_digest& digest, TimePoint now) const -> suspicion_state;

  /// Another proxy reported that a server was lost while it ran this request.
  void on_reported_crash(const request_digest& digest, TimePoint now);
  /// These forward to crash_detector.
  void on_lost(const server_run& run, TimePoint now);
  void on_abandoned(const server_run& run, TimePoint now);
  void on_alive(TimePoint begun);
  [[nodiscard]] auto is_pending() const -> bool { return this->detector.is_pending(); }
  /// The server is gone without a planned stop. Returns std::nullopt if no request was in flight.
  auto on_server_gone(const server_instance& server, TimePoint now) -> std::optional<crash_report>;
  /// The server beside this proxy answered a request with success or a client error.
  void on_success(const request_digest& digest, const server_instance& server, TimePoint now);

  /// Adds records written by proxies beside other servers of the service. `server` is the instance
  /// beside this proxy.
  void take(const std::vector<instance_evidence>& records, const server_instance& server,
            TimePoint now);

  /// Returns the own records that are new or have changed since the last call.
  auto take_unreported() -> std::vector<instance_evidence>;
  auto take_blocks() -> std::vector<block_decision> { return this->attribution.take_blocks(); }
  /// Number of blocks that a success showed to be wrong.
  [[nodiscard]] auto withdrawn_blocks() const -> std::uint64_t {
    return this->attribution.withdrawn_blocks();
  }
  /// Number of requests that a success here cleared for all proxies.
  [[nodiscard]] auto cleared() const -> std::uint64_t { return this->cleared_for_all; }

 private:
  struct own_record {
    instance_evidence evidence;
    TimePoint when{0};  // of the crash, or of the last reported success
  };
  struct reported_success {
    request_digest digest;
    TimePoint when{0};
  };
  [[nodiscard]] auto without_successes(std::vector<request_digest> digests, TimePoint now) const
      -> std::vector<request_digest>;
  auto record_of(const server_instance& server) -> own_record&;
  void report_record(own_record& record, TimePoint now);
  void report_success(const request_digest& digest, const server_instance& server, TimePoint now);
  void withdraw(const request_digest& digest, TimePoint now);

  crash_detector detector;
  recent_successes successes;
  crash_attribution attribution;
  std::map<std::string, own_record> own_records;    // by instance
  std::deque<std::string> own_order;                // oldest first
  std::deque<reported_success> reported_successes;  // newest last
  std::vector<instance_evidence> unreported;
  std::uint64_t cleared_for_all = 0;
};

}  // namespace ramppond
