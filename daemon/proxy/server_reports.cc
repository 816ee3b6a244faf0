#include "daemon/proxy/server_reports.h"

#include <utility>

#include "daemon/proxy/json_answer.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

constexpr auto max_report_bytes = std::size_t(65536);

}  // namespace

server_reports::server_reports(const ExternalApi& api, own_server& server,
                               server_departures& departures, std::string service)
    : api(api), server(server), departures(departures), service(std::move(service)) {}

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
        this->departures.when_processable(
            [this, call, weak, body] { this->process(call, body, weak); });
      }));
}

void server_reports::process(const ExternalCall& call, const std::string& body,
                             const std::weak_ptr<ServerExchange>& exchange) {
  const auto answer = [exchange](int status) {
    if (const auto alive = exchange.lock()) {
      answer_empty_object(*alive, status);
    }
  };
  switch (this->handle(call, body)) {
    case outcome::accepted:
      answer(kOk);
      return;
    case outcome::announced_departure:
      this->departures.when_stored([answer](bool stored) { answer(stored ? kOk : kUnavailable); });
      return;
    case outcome::rejected:
      answer(kBadRequest);
      return;
    case outcome::refused:
      answer(kUnavailable);
      return;
  }
}

auto server_reports::handle(const ExternalCall& call, const std::string& body) -> outcome {
  return call.type == ExternalCallType::kLeave ? this->handle_leave(call.instance_id, body)
                                               : this->handle_heartbeat(call.instance_id, body);
}

auto server_reports::handle_leave(const std::string& instance_id, const std::string& body)
    -> outcome {
  const auto leave = this->api.parseLeave(instance_id, body);
  if (!leave.value) {
    return this->reject(instance_id, leave.error);
  }
  if (this->departures.is_full()) {
    return outcome::refused;
  }
  this->server.on_leave(*leave.value);
  return outcome::announced_departure;
}

auto server_reports::handle_heartbeat(const std::string& instance_id, const std::string& body)
    -> outcome {
  const auto heartbeat = this->api.parseHeartbeat(instance_id, body);
  if (!heartbeat.error.empty()) {
    return this->reject(instance_id, heartbeat.error);
  }
  const auto& named = heartbeat.value->service;
  if (named != this->service && !this->server.is_service(named)) {
    return this->reject(instance_id, "heartbeat: service: '" + named + "' is not defined");
  }
  const auto draining = heartbeat.value->draining;
  if (draining && this->departures.is_full()) {
    return outcome::refused;
  }
  this->server.on_heartbeat(*heartbeat.value);
  return draining ? outcome::announced_departure : outcome::accepted;
}

auto server_reports::reject(const std::string& instance_id, const std::string& reason) -> outcome {
  this->log_refused(instance_id, reason);
  return outcome::rejected;
}

void server_reports::log_refused(const std::string& instance_id, const std::string& reason) {
  const auto now = EventLoop::now();
  if (this->refused.allow(now.count())) {
    logEvent(now.count(), this->refused.event(), {{"instance", instance_id}, {"reason", reason}});
  }
}

}  // namespace ramppond
