#include "daemon/proxy/server_reports.h"

#include <utility>

#include "daemon/proxy/json_answer.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

constexpr auto max_report_bytes = std::size_t(65536);

}  // namespace

server_reports::server_reports(const ExternalApi& api, own_server& server, std::string service)
    : api(api), server(server), service(std::move(service)) {}

void server_reports::serve(const std::shared_ptr<ServerExchange>& exchange) {
  const auto& request = exchange->request();
  const auto call = this->api.classify(request.method, request.target);
  if (call.type != ExternalCallType::kHeartbeat && call.type != ExternalCallType::kLeave) {
    answer_empty_object(*exchange, kNotFound);
    return;
  }
  const auto weak = std::weak_ptr<ServerExchange>(exchange);
  exchange->setHandler(std::make_shared<WholeBodyHandler>(
      max_report_bytes, [this, call, weak](const std::string& body) {
        const auto alive = weak.lock();
        if (alive == nullptr) {
          return;
        }
        const auto reason = this->handle(call, body);
        if (!reason.empty()) {
          this->log_refused(call.instance_id, reason);
        }
        answer_empty_object(*alive, reason.empty() ? kOk : kBadRequest);
      }));
}

auto server_reports::handle(const ExternalCall& call, const std::string& body) -> std::string {
  return call.type == ExternalCallType::kLeave ? this->handle_leave(call.instance_id, body)
                                               : this->handle_heartbeat(call.instance_id, body);
}

auto server_reports::handle_leave(const std::string& instance_id, const std::string& body)
    -> std::string {
  const auto leave = this->api.parseLeave(instance_id, body);
  if (!leave.value) {
    return leave.error;
  }
  this->server.on_leave(*leave.value);
  return "";
}

auto server_reports::handle_heartbeat(const std::string& instance_id, const std::string& body)
    -> std::string {
  const auto heartbeat = this->api.parseHeartbeat(instance_id, body);
  if (!heartbeat.error.empty()) {
    return heartbeat.error;
  }
  const auto& named = heartbeat.value->service;
  if (named != this->service && !this->server.is_service(named)) {
    return "heartbeat: service: '" + named + "' is not defined";
  }
  this->server.on_heartbeat(*heartbeat.value);
  return "";
}

void server_reports::log_refused(const std::string& instance_id, const std::string& reason) {
  const auto now = EventLoop::now();
  if (this->refused.allow(now.count())) {
    logEvent(now.count(), this->refused.event(), {{"instance", instance_id}, {"reason", reason}});
  }
}

}  // namespace ramppond
