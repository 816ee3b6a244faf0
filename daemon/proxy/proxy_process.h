// The process ramppond-proxy: the forwarding path beside one server and the clients of one machine.
//
// Owns the event loop, the listeners, the session with the coordinators and all parts of the proxy,
// joins them, and runs what happens at intervals. Decisions are in core/. One thread.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

#include "common/settings_watch.h"
#include "core/session/proxy_session.h"
#include "daemon/proxy/proxy_context.h"
#include "daemon/proxy/proxy_stop.h"
#include "daemon/proxy/server_reports.h"
#include "daemon/proxy/tenant_reports.h"
#include "net/stream/control_channels.h"
#include "net/stream/http_server.h"

namespace ramppond {

class ProxyProcess {
 public:
  /// `settings_path` is read again when it changes.
  ProxyProcess(const ExternalApi& api, const OperatingBounds& bounds, const ProxySettings& settings,
               std::string settings_path);

  /// Listens everywhere. Nothing on success, else the reason.
  std::optional<std::string> start();
  /// Serves until a signal to stop has been obeyed.
  void run() { loop_.run(); }

 private:
  void serveReadiness(const std::shared_ptr<ServerExchange>& exchange);
  /// Asks a coordinator for news if one is to be asked now.
  void poll();
  void takeNews();
  /// The record of the own server changed: others are told with the next poll, which is due now.
  void tellOwnRecord();
  void waitForSignal();
  void onSignal(int signal);
  void onStopped(const stop_load& cut);
  void rereadSettings(bool asked);
  void everySecond();
  void checkPeers();
  void logCounters();

  EventLoop loop_;
  SettingsWatch settings_watch_;
  ProxyContext context_;
  ProxySession session_;
  ControlChannels channels_;
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
