// Receives the reports of the local server: heartbeats and leave announcements.
//
// Decodes them by the platform's interface, rejects malformed ones and those for undefined
// services, and passes the rest to own_server. Processes and acknowledges them when
// server_departures permits it. Relies on all three, which outlive it. Used on the event loop's
// thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/event_log.h"
#include "core/external/external_api.h"
#include "daemon/proxy/own_server.h"
#include "daemon/proxy/server_departures.h"
#include "net/stream/http_server.h"

namespace ramppond {

class server_reports {
 public:
  /// `service` is accepted even before the first configuration that defines services.
  server_reports(const ExternalApi& api, own_server& server, server_departures& departures,
                 std::string service);

  /// Answers one request at the report address: 200, 400 for a rejected report, 503 if the server's
  /// departure could not be stored, 404 for anything else.
  void serve(const std::shared_ptr<ServerExchange>& exchange);

 private:
  /// What becomes of a report.
  enum class outcome : std::uint8_t {
    accepted = 0,
    announced_departure,  // accepted; acknowledged once the departure is stored
    rejected,
    refused,  // too many departures wait to be stored
  };
  void process(const ExternalCall& call, const std::string& body,
               const std::weak_ptr<ServerExchange>& exchange);
  auto handle(const ExternalCall& call, const std::string& body) -> outcome;
  auto handle_leave(const std::string& instance_id, const std::string& body) -> outcome;
  auto handle_heartbeat(const std::string& instance_id, const std::string& body) -> outcome;
  auto reject(const std::string& instance_id, const std::string& reason) -> outcome;
  void log_refused(const std::string& instance_id, const std::string& reason);

  const ExternalApi& api;
  own_server& server;
  server_departures& departures;
  std::string service;
  DecisionLimit refused{"report_refused"};  // log limit for rejected reports of any sender
};

}  // namespace ramppond
