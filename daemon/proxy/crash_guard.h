// Keeps requests that crash servers away from the local server.
//
// Owns the ledger of crashes (rules in core/crash_evidence/crash_attribution.h), the queue of
// suspected requests that wait to run in isolation, and the probe of a server whose connections are
// all gone. Relies on the proxy to report how each request ends at the server, and to carry crash
// records to and from the coordinator. Writes the log events server_ended (a crash) and
// request_barred (a block), and the counters of crashes and blocks. See docs/design/0012 for the
// rationale. Used on the event loop's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/crash_evidence/crash_ledger.h"
#include "core/crash_evidence/isolation_queue.h"
#include "daemon/proxy/server_probe.h"
#include "net/stream/event_loop.h"

namespace ramppond {

struct ProxyContext;
class InboundRequest;

class crash_guard {
 public:
  explicit crash_guard(ProxyContext& context);
  ~crash_guard();
  crash_guard(const crash_guard&) = delete;
  auto operator=(const crash_guard&) -> crash_guard& = delete;

  /// Merges records of the proxies beside other servers of the service.
  void merge_records(const std::vector<instance_evidence>& records);
  /// Called with each record of this proxy that is new or has changed.
  std::function<void(const instance_evidence&)> on_evidence;

  /// How a request may run at the local server.
  [[nodiscard]] auto judge(const request_digest& digest) const -> suspicion_state;
  /// Whether a quarantined request may run at the local server.
  [[nodiscard]] auto may_run_quarantined(const request_digest& digest) const -> bool;
  /// Another proxy reports that a server was lost while it ran this request.
  void on_reported_crash(const request_digest& digest);

  /// The server's connection ended before the answer to a request did.
  void on_lost(const server_run& run);
  /// A request was abandoned while the server was running it.
  void on_abandoned(const server_run& run);
  /// The server answered a request that began at `begun`. `succeeded` is also true for a failure
  /// caused by the client.
  void on_answered(const request_digest& digest, TimePoint begun, bool succeeded);
  /// `incarnation` is gone: its address refuses connections and none is open, or another
  /// incarnation runs there. This is a crash unless a planned stop was announced.
  void on_server_gone(const std::string& incarnation);

  /// Returns whether a suspected request may proceed at once. Otherwise its onIsolated() is called
  /// later or, at `isolation_deadline`, its onIsolationTimeout().
  auto enter(const std::shared_ptr<InboundRequest>& request, isolation_queue::request_id id,
             TimePoint isolation_deadline) -> bool;
  /// The request ended or no longer waits. Has no effect on a request that never entered.
  void leave(isolation_queue::request_id id);

 private:
  void check_server();
  void on_probed(probe_answer answer);
  [[nodiscard]] auto server() const -> server_instance;
  void report_new_records();
  void log_blocks();
  void resume_waiting();
  void schedule_resume();
  void reconsider_waiting();

  ProxyContext& context;
  crash_ledger ledger;
  isolation_queue isolation;
  std::map<isolation_queue::request_id, std::weak_ptr<InboundRequest>> waiting;
  std::shared_ptr<server_probe> probe;
  LoopTimer check_timer;
  LoopTimer resume_timer;
  std::uint32_t checks = 0;  // connection checks since the last loss
};

}  // namespace ramppond
