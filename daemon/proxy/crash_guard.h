// Keeps requests that end servers away from the server beside this daemon.
//
// Finds out when that server ends and what was under way there, tells the
// daemons beside the other servers of the service, and decides by what they
// tell whether a request may run here, and how: see core/crash_evidence and
// docs/design/0012. On the thread of the event loop.
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

  /// Takes what daemons beside other servers of the service tell.
  void take(const std::vector<instance_evidence>& news);
  /// Called with what this daemon has to tell.
  std::function<void(const instance_evidence&)> on_evidence;

  [[nodiscard]] auto judge(const request_digest& digest) const -> standing;
  /// Whether a request on trial may run here.
  [[nodiscard]] auto has_trial(const request_digest& digest) const -> bool;
  /// Another daemon lost the last server of this request.
  void on_hearsay(const request_digest& digest);

  /// The server's connection ended before the answer to a request did.
  void on_lost(const server_run& run);
  /// A request is not waited for any more while the server is at work on it.
  void on_left(const server_run& run);
  /// The server answered a request that began at `begun`, by a success or a
  /// failure that is the client's if `well`.
  void on_answered(const request_digest& digest, TimePoint begun, bool well);
  /// `incarnation` has ended: its address refuses connections and none stands,
  /// or another instance is there.
  void on_server_gone(const std::string& incarnation);

  /// Whether a suspected request may go on at once; otherwise its onAlone() or,
  /// at `give_up`, its onIsolationEnded() follows.
  auto enter(const std::shared_ptr<InboundRequest>& request, isolation_queue::request_id id,
             TimePoint give_up) -> bool;
  /// It has ended, or waits no longer; one that never entered is passed over.
  void leave(isolation_queue::request_id id);

 private:
  void check_server();
  void on_probed(probe_answer answer);
  [[nodiscard]] auto server() const -> server_instance;
  void report_new_records();
  void pump();
  void schedule_pump();
  void reconsider_waiting();

  ProxyContext& context;
  crash_ledger ledger;
  isolation_queue isolation;
  std::map<isolation_queue::request_id, std::weak_ptr<InboundRequest>> waiting;
  std::shared_ptr<server_probe> probe;
  LoopTimer check_timer;
  LoopTimer pump_timer;
  std::uint32_t checks = 0;  // since the last loss
};

}  // namespace ramppond
