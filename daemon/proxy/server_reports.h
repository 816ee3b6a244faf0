// Takes the reports of the own server: heartbeats, and that it leaves.
//
// Decodes them by the platform's interface, refuses what cannot be read or concerns no service that
// is known here, and tells own_server. Relies on both of them, which outlive it; on the thread of
// the event loop.
#pragma once

#include <memory>
#include <string>

#include "common/event_log.h"
#include "core/external/external_api.h"
#include "daemon/proxy/own_server.h"
#include "net/stream/http_server.h"

namespace ramppond {

class server_reports {
 public:
  /// `service` is known before the first configuration that defines services.
  server_reports(const ExternalApi& api, own_server& server, std::string service);

  /// Answers one request at the address for reports: 200, 400 for a report that is refused, 404 for
  /// anything else.
  void serve(const std::shared_ptr<ServerExchange>& exchange);

 private:
  /// These give why the report is refused; empty if it was taken.
  auto take(const ExternalCall& call, const std::string& body) -> std::string;
  auto take_leave(const std::string& instance_id, const std::string& body) -> std::string;
  auto take_heartbeat(const std::string& instance_id, const std::string& body) -> std::string;
  void log_refused(const std::string& instance_id, const std::string& reason);

  const ExternalApi& api;
  own_server& server;
  std::string service;
  DecisionLimit refused{"report_refused"};  // of the own server, or of another writer
};

}  // namespace ramppond
