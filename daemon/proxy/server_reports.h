// Receives the reports of the local server: heartbeats and leave announcements.
//
// Decodes them by the platform's interface, rejects malformed ones and those for undefined
// services, and passes the rest to own_server. Relies on both, which outlive it. Used on the event
// loop's thread.
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
  /// `service` is accepted even before the first configuration that defines services.
  server_reports(const ExternalApi& api, own_server& server, std::string service);

  /// Answers one request at the report address: 200, 400 for a rejected report, 404 for anything
  /// else.
  void serve(const std::shared_ptr<ServerExchange>& exchange);

 private:
  /// These return the reason for rejecting the report, or an empty string if it was accepted.
  auto handle(const ExternalCall& call, const std::string& body) -> std::string;
  auto handle_leave(const std::string& instance_id, const std::string& body) -> std::string;
  auto handle_heartbeat(const std::string& instance_id, const std::string& body) -> std::string;
  void log_refused(const std::string& instance_id, const std::string& reason);

  const ExternalApi& api;
  own_server& server;
  std::string service;
  DecisionLimit refused{"report_refused"};  // log limit for rejected reports of any sender
};

}  // namespace ramppond
