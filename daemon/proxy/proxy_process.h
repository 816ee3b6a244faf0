// The ramppond-proxy process: the forwarding path for the local server and the clients of this
// machine.
//
// Owns the event loop, the listeners, the session with the coordinators and all parts of the proxy,
// connects them, and runs the periodic tasks. Decisions are made in core/. Single-threaded.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

#include "common/settings_watch.h"
#include "core/session/proxy_session.h"
#include "daemon/proxy/proxy_context.h"
#include "daemon/proxy/proxy_stop.h"
#include "daemon/proxy/server_departures.h"
#include "daemon/proxy/server_reports.h"
#include "daemon/proxy/tenant_reports.h"
#include "net/stream/control_channels.h"
#include "net/stream/http_server.h"

namespace ramppond {

class ProxyProcess {
 public:
  /// The file at `settings_path` is read again when it changes.
  ProxyProcess(const ExternalApi& api, const OperatingBounds& bounds, const ProxySettings& settings,
               std::string settings_path);

  /// Starts all listeners. Returns std::nullopt on success, else the reason of the failure.
  std::optional<std::string> start();
  /// Serves until the stop that SIGTERM or SIGINT requested is complete.
  void run() { loop_.run(); }

 private:
  void serveReadiness(const std::shared_ptr<ServerExchange>& exchange);
  /// Polls a coordinator if a poll is due.
  void poll();
  void applySessionUpdates();
  /// Publishes the changed record of the local server with the next poll, which becomes due at
  /// once.
  void publishOwnRecord();
  void waitForSignal();
  void onSignal(int signal);
  void onStopped(const stop_load& remaining);
  void rereadSettings(bool by_signal);
  void onSecondElapsed();
  void checkPeers();
  void logCounters();
  /// Logs the event `uploads` while the configuration in force has a route for uploads.
  void logUploads() const;

  EventLoop loop_;
  SettingsWatch settings_watch_;
  ProxyContext context_;
  ProxySession session_;
  ControlChannels channels_;
  server_departures departures_;
  server_reports server_reports_;
  tenant_reports tenant_reports_;
  StreamHttpServer clients_;
  StreamHttpServer peers_;
  StreamHttpServer readiness_;
  StreamHttpServer reports_;
  proxy_stop stop_;
  boost::asio::signal_set signals_;
  LoopTimer poll_timer_;
  LoopTimer second_timer_;
  LoopTimer liveness_timer_;
  std::uint32_t seconds_ = 0;
};

}  // namespace ramppond
