// ramppond-proxy: the daemon of the forwarding path, beside one server and the clients of one
// machine.
//
// Owns the event loop's parts and joins them; decisions are in core/. One thread.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

#include "common/settings_watch.h"
#include "core/distribution/proxy_session.h"
#include "core/lifecycle/planned_stop.h"
#include "daemon/proxy/proxy_context.h"
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
  void serveReport(const std::shared_ptr<ServerExchange>& exchange);
  void onReport(const ExternalCall& call, const std::string& body,
                const std::shared_ptr<ServerExchange>& exchange);
  /// These give whether the server's report could be read and concerns a server of ours.
  bool onLeave(const std::string& instance_id, const std::string& body);
  bool onHeartbeat(const std::string& instance_id, const std::string& body);
  [[nodiscard]] bool namesKnownService(const ServerHeartbeat& heartbeat) const;
  void logReportRefused(const std::string& instance_id, const std::string& reason);
  void answer(const std::shared_ptr<ServerExchange>& exchange, int status, std::string_view body);
  void poll();
  void takeNews();
  void tellOwnRecord();
  void reportTenants();
  void reportTenantsSoon();
  void onTenantWord(std::uint64_t sequence, const std::optional<ControlReply>& reply,
                    TimePoint asked);
  void waitForSignal();
  void onSignal(int signal);
  void stopInPhases();
  void closeToNewRequests();
  void rereadSettings(bool asked);
  void everySecond();
  void checkPeers();
  void logCounters();

  EventLoop loop_;
  SettingsWatch settings_watch_;
  ProxyContext context_;
  ProxySession session_;
  ControlChannels channels_;
  StreamHttpServer clients_;
  StreamHttpServer peers_;
  StreamHttpServer readiness_;
  StreamHttpServer reports_;
  boost::asio::signal_set signals_;
  LoopTimer poll_timer_;
  LoopTimer second_timer_;
  LoopTimer liveness_timer_;
  LoopTimer report_timer_;
  LoopTimer stop_timer_;
  std::optional<planned_stop> stop_;  ///< Once the process was told to stop.
  std::uint32_t seconds_ = 0;
  TimePoint last_report_{0};  ///< Of tenants' requests.
};

}  // namespace ramppond
