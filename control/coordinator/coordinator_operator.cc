// Operator API of CoordinatorProcess: puts and reads of the configuration over HTTP.
#include "common/event_log.h"
#include "common/json_string.h"
#include "control/coordinator/coordinator_process.h"
#include "core/cbor_codec.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Limits the memory that one call can take. Expected configurations have several hundred routes,
// far below this.
constexpr std::size_t kMaximumDocumentBytes = 16U << 20U;

void respondToOperator(const std::shared_ptr<ServerExchange>& exchange, int status,
                       std::string_view body) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  exchange->respond(std::move(head), body);
}

// Logs why a configuration is invalid, and tells the operator.
void refuseConfiguration(const std::shared_ptr<ServerExchange>& exchange,
                         const std::string& reason) {
  logEvent(EventLoop::now().count(), "configuration_refused", {{"reason", reason}});
  // The literal is recorded in tests/compatibility/golden/literals.txt; the reason is added to it.
  std::string body = "{\"error\":\"invalid\"}";
  body.insert(body.size() - 1, ",\"reason\":" + toJsonString(reason));
  respondToOperator(exchange, kBadRequest, body);
}

}  // namespace

void CoordinatorProcess::serveOperator(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpHead& request = exchange->request();
  const ExternalCall call = api_.classify(request.method, request.target);
  if (core_ == nullptr) {
    rejectOperatorCall(exchange);
    return;
  }
  if (call.type == ExternalCallType::kReadTraffic) {
    const ControlToken token = next_operator_token_++;
    operator_calls_[token] = exchange;
    ControlRequest read;
    read.type = ControlRequestType::kReadTraffic;
    core_->onRequest(token, read, EventLoop::now());
    scheduleWork();
    return;
  }
  if (call.type != ExternalCallType::kReplaceTraffic) {
    respondToOperator(exchange, kNotFound, "{\"error\":\"no such call\"}");
    return;
  }
  const std::string base = request.get(api_.headers().base_version);
  const std::weak_ptr<ServerExchange> weak_exchange = exchange;
  exchange->setHandler(std::make_shared<WholeBodyHandler>(
      kMaximumDocumentBytes, [this, base, weak_exchange](const std::string& body) {
        const auto live_exchange = weak_exchange.lock();
        if (live_exchange != nullptr) {
          replaceConfiguration(base, body, live_exchange);
        }
      }));
}

void CoordinatorProcess::rejectOperatorCall(const std::shared_ptr<ServerExchange>& exchange) {
  respondToOperator(exchange, kUnavailable, "{\"error\":\"storage takes no writes\"}");
}

void CoordinatorProcess::replaceConfiguration(const std::string& base_version,
                                              const std::string& body,
                                              const std::shared_ptr<ServerExchange>& exchange) {
  if (core_ == nullptr) {
    rejectOperatorCall(exchange);
    return;
  }
  auto replacement = api_.parseReplacement(base_version, body);
  if (replacement.value) {
    replacement.error = validateNewTraffic(replacement.value->configuration).value_or("");
  }
  if (!replacement.value || !replacement.error.empty()) {
    refuseConfiguration(exchange, replacement.error);
    return;
  }
  const ControlToken token = next_operator_token_++;
  operator_calls_[token] = exchange;
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command.type = CommandType::kReplaceTraffic;
  request.command.traffic = encode(*replacement.value);
  core_->onRequest(token, request, EventLoop::now());
  scheduleWork();
}

void CoordinatorProcess::onOperatorReply(ControlToken token, const ControlReply& reply) {
  const auto found = operator_calls_.find(token);
  if (found == operator_calls_.end()) {
    return;
  }
  const auto exchange = found->second;
  operator_calls_.erase(found);
  if (reply.error != ErrorKind::kNone) {
    redirectOrReject(exchange, reply);
    return;
  }
  switch (reply.result.error) {
    case ErrorKind::kNone:
      break;
    case ErrorKind::kVersionConflict:
      respondToOperator(exchange, kPreconditionFailed,
                        "{\"error\":\"another version is in force\"}");
      return;
    default:
      refuseConfiguration(exchange, reply.result.reason);
      return;
  }
  const bool read = equalNames(exchange->request().method, "GET");
  if (read && reply.traffic_document.empty()) {
    respondToOperator(exchange, kUnavailable, "{\"error\":\"no configuration yet\"}");
    return;
  }
  respondToOperator(exchange, kOk, read ? reply.traffic_document : "{}");
}

// Redirects the caller to the leader if one is known. All members use the same operator port.
void CoordinatorProcess::redirectOrReject(const std::shared_ptr<ServerExchange>& exchange,
                                          const ControlReply& reply) {
  const auto leader = parseEndpoint(reply.leader_address);
  const bool known = leader && leader->host != settings_.member_address.host;
  if (!known) {
    respondToOperator(exchange, kUnavailable, "{\"error\":\"no leader\"}");
    return;
  }
  const Endpoint target = {leader->host, settings_.operator_address.port};
  HttpHead head;
  head.status = kTemporaryRedirect;
  head.fields.push_back({"Location", "http://" + target.toString() + exchange->request().target});
  exchange->respond(std::move(head), "");
}

}  // namespace ramppond
