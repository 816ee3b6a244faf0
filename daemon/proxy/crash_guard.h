// Keeps requests that crash servers away from the server beside this proxy.
//
// Owns the ledger of crashes (the rules are listed in
// core/crash_evidence/crash_attribution.h), the queue of suspected requests that
// wait to run isolated, and the probe of a server whose connections are all gone.
// Relies on the proxy to say how each request ends at the server, and to carry
// crash records to and from the coordinator. Writes the log events server_ended
// (a crash) and request_barred (a block), and the counters of crashes and blocks.
// Why it works so: docs/design/0012. On the thread of the event loop.
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

  /// Takes records of proxies beside other servers of the service.
  void take(const std::vector<instance_evidence>& records);
  /// Called with each own record that is new or has changed.
  std::function<void(const instance_evidence&)> on_evidence;

  /// How a request may run at the server beside this proxy.
  [[nodiscard]] auto judge(const request_digest& digest) const -> suspicion_state;
  /// Whether a request on trial may run at this server.
  [[nodiscard]] auto has_trial(const request_digest& digest) const -> bool;
  /// Another proxy reports that a server was lost while it ran this request.
  void on_reported_crash(const request_digest& digest);

  /// The server's connection ended before the answer to a request did.
  void on_lost(const server_run& run);
  /// Nobody waits for a request any more while the server is at work on it.
  void on_abandoned(const server_run& run);
  /// The server answered a request that began at `begun`, by a success or a
  /// failure that is the client's if `succeeded`.
  void on_answered(const request_digest& digest, TimePoint begun, bool succeeded);
  /// `incarnation` is gone: its address refuses connections and none stands, or
  /// another instance is there. A crash, if it had not announced a planned stop.
  void on_server_gone(const std::string& incarnation);

  /// Whether a suspected request may go on at once; otherwise its onAlone() or,
  /// at `give_up`, its onIsolationTimeout() follows.
  auto enter(const std::shared_ptr<InboundRequest>& request, isolation_queue::request_id id,
             TimePoint give_up) -> bool;
  /// It has ended or waits no longer; without effect on one that never entered.
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
  std::uint32_t checks = 0;  // of the connections, since the last loss
};

}  // namespace ramppond
