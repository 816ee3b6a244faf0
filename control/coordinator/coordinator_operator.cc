// The operator's calls of a coordinator: a configuration put or read, answered over HTTP.
#include "common/event_log.h"
#include "control/coordinator/coordinator_process.h"
#include "core/cbor_codec.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// A call cannot take more of the memory than this; configurations described have some hundred
// routes.
constexpr std::size_t kMaximumDocumentBytes = 16U << 20U;

void answerOperator(const std::shared_ptr<ServerExchange>& exchange, int status,
                    std::string_view body) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  exchange->respond(std::move(head), body);
}

}  // namespace

void CoordinatorProcess::serveOperator(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpHead& request = exchange->request();
  const ExternalCall call = api_.classify(request.method, request.target);
  if (core_ == nullptr) {
    refuseOperator(exchange);
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
    answerOperator(exchange, kNotFound, "{\"error\":\"no such call\"}");
    return;
  }
  const std::string base = request.get(api_.headers().base_version);
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->setHandler(std::make_shared<WholeBodyHandler>(
      kMaximumDocumentBytes, [this, base, weak](const std::string& body) {
        const auto alive = weak.lock();
        if (alive != nullptr) {
          onReplacement(base, body, alive);
        }
      }));
}

void CoordinatorProcess::refuseOperator(const std::shared_ptr<ServerExchange>& exchange) {
  answerOperator(exchange, kUnavailable, "{\"error\":\"storage takes no writes\"}");
}

void CoordinatorProcess::onReplacement(const std::string& base_version, const std::string& body,
                                       const std::shared_ptr<ServerExchange>& exchange) {
  if (core_ == nullptr) {
    refuseOperator(exchange);
    return;
  }
  auto replacement = api_.parseReplacement(base_version, body);
  if (replacement.value) {
    replacement.error = validateTraffic(replacement.value->configuration).value_or("");
  }
  if (!replacement.value || !replacement.error.empty()) {
    logEvent(EventLoop::now().count(), "configuration_refused", {{"reason", replacement.error}});
    answerOperator(exchange, kBadRequest, "{\"error\":\"invalid\"}");
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
    redirectOrRefuse(exchange, reply);
    return;
  }
  switch (reply.result.error) {
    case ErrorKind::kNone:
      break;
    case ErrorKind::kVersionConflict:
      answerOperator(exchange, kPreconditionFailed, "{\"error\":\"another version is in force\"}");
      return;
    default:
      answerOperator(exchange, kBadRequest, "{\"error\":\"invalid\"}");
      return;
  }
  const bool read = equalNames(exchange->request().method, "GET");
  if (read && reply.traffic_document.empty()) {
    answerOperator(exchange, kUnavailable, "{\"error\":\"no configuration yet\"}");
    return;
  }
  answerOperator(exchange, kOk, read ? reply.traffic_document : "{}");
}

// Sends the caller to the leader, if one is known; all members have the same operator port.
void CoordinatorProcess::redirectOrRefuse(const std::shared_ptr<ServerExchange>& exchange,
                                          const ControlReply& reply) {
  const auto leader = parseEndpoint(reply.leader_address);
  const bool known = leader && leader->host != settings_.member_address.host;
  if (!known) {
    answerOperator(exchange, kUnavailable, "{\"error\":\"no leader\"}");
    return;
  }
  const Endpoint target = {leader->host, settings_.operator_address.port};
  HttpHead head;
  head.status = kTemporaryRedirect;
  head.fields.push_back({"Location", "http://" + target.toString() + exchange->request().target});
  exchange->respond(std::move(head), "");
}

}  // namespace ramppond
