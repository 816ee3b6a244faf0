// Performs a planned stop of the proxy: drains, closes the connections, and ends.
//
// core/lifecycle/planned_stop.h decides when each phase starts. Relies on the two servers, which
// outlive it. Used on the event loop's thread.
#pragma once

#include <functional>
#include <optional>

#include "core/external/external_api.h"
#include "core/lifecycle/dispatch_window.h"
#include "core/lifecycle/planned_stop.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_server.h"

namespace ramppond {

class proxy_stop {
 public:
  /// Closes `clients` and `peers` during the stop.
  proxy_stop(EventLoop& loop, const OperatingBounds& bounds, StreamHttpServer& clients,
             StreamHttpServer& peers);

  /// Called once, when draining starts and other proxies must be told, with the requests that may
  /// still be passed on.
  std::function<void(const dispatch_window& window)> on_begun;
  /// Called at each check with whether requests of peers are refused from now on.
  std::function<void(bool refuse_peers)> on_checked;
  /// Called once, when everything has ended or the platform's grace period is nearly over, with
  /// what is still in flight. The process may exit afterwards.
  std::function<void(const stop_load& remaining)> on_ended;

  /// Starts the stop. Further calls have no effect.
  void begin();
  [[nodiscard]] auto has_begun() const -> bool { return this->stop.has_value(); }

 private:
  [[nodiscard]] auto load() const -> stop_load;
  void check();
  void close();

  StreamHttpServer& clients;
  StreamHttpServer& peers;
  stop_times times;
  LoopTimer timer;
  std::optional<planned_stop> stop;
};

}  // namespace ramppond
