// Carries out a planned stop of the proxy: asks everybody to leave, closes, and ends.
//
// core/lifecycle/planned_stop.h decides which phase begins when. Relies on the two servers, which
// outlive it; on the thread of the event loop.
#pragma once

#include <functional>
#include <optional>

#include "core/external/external_api.h"
#include "core/lifecycle/planned_stop.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_server.h"

namespace ramppond {

class proxy_stop {
 public:
  /// `clients` and `peers` are closed on the way.
  proxy_stop(EventLoop& loop, const OperatingBounds& bounds, StreamHttpServer& clients,
             StreamHttpServer& peers);

  /// Called once, when the draining begins: others must be told.
  std::function<void()> on_begun;
  /// Called at each check with whether requests of peers are refused from now on.
  std::function<void(bool refuse_peers)> on_checked;
  /// Called once, when everything has ended or the platform's grace is nearly over, with what is
  /// still under way. The process may end.
  std::function<void(const stop_load& cut)> on_ended;

  /// Begins the stop; a second call does nothing.
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
