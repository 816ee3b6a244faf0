#include "net/call_protocol.h"

#include <algorithm>
#include <cctype>

#include "common/command_line.h"

namespace ramppond {
namespace {

constexpr std::size_t kMaximumKeyBytes = 128;
constexpr std::size_t kMaximumNameBytes = 64;
constexpr std::size_t kMaximumPathBytes = 2048;

bool isToken(const std::string& text, std::size_t maximum) {
  return !text.empty() && text.size() <= maximum &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
         });
}

bool isPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7F; });
}

bool isSupportedMethod(const std::string& method) {
  return method == "GET" || method == "POST" || method == "PUT" || method == "DELETE";
}

/// What both ports have in common.
struct ParsedTarget {
  std::string service;
  std::string idempotency_key;
  Duration deadline{0};
  CallPayload payload;
};

bool parseTarget(const HttpRequest& request, ParsedTarget& target, RequestRejection& rejection) {
  if (!isSupportedMethod(request.method)) {
    rejection.reason = "method: expected GET, POST, PUT or DELETE";
    return false;
  }
  const auto slash = request.path.find('/', 1);
  if (request.path.size() > kMaximumPathBytes || request.path.rfind('/', 0) != 0 ||
      slash == std::string::npos || !isPrintable(request.path)) {
    rejection.reason = "target: expected /SERVICE/PATH of at most " +
                       std::to_string(kMaximumPathBytes) + " printable characters";
    return false;
  }
  target.service = request.path.substr(1, slash - 1);
  if (!isToken(target.service, kMaximumNameBytes)) {
    rejection.reason = "target: expected a service name of letters, digits, '-', '_', '.', ':'";
    return false;
  }
  const std::string deadline = request.header(headers::kDeadline);
  if (!deadline.empty()) {
    const auto milliseconds_left = parseUnsigned(deadline);
    const auto longest = static_cast<std::uint64_t>(kMaximumDeadline.count() / 1000);
    if (!milliseconds_left || *milliseconds_left < 1 || *milliseconds_left > longest) {
      rejection.reason = std::string(headers::kDeadline) + ": expected 1 to " +
                         std::to_string(longest) + " milliseconds";
      return false;
    }
    target.deadline = milliseconds(*milliseconds_left);
  }
  target.idempotency_key = request.header(headers::kIdempotencyKey);
  const bool key_valid =
      target.idempotency_key.empty() ||
      (target.idempotency_key.size() <= kMaximumKeyBytes && isPrintable(target.idempotency_key));
  if (!key_valid) {
    rejection.reason = std::string(headers::kIdempotencyKey) + ": expected at most " +
                       std::to_string(kMaximumKeyBytes) + " printable characters";
    return false;
  }
  target.payload.method = request.method;
  target.payload.path = request.path.substr(slash);
  target.payload.content_type = request.header("Content-Type");
  target.payload.body = request.body;
  return true;
}

std::string secondsRoundedUp(Duration duration) {
  const std::int64_t microseconds_per_second = 1000000;
  return std::to_string((duration.count() + microseconds_per_second - 1) / microseconds_per_second);
}

}  // namespace

std::optional<FrontRequest> parseFrontRequest(const HttpRequest& request,
                                              RequestRejection& rejection) {
  // Contexts come from the own back end by its own port; from outside one can only be forged.
  if (!request.header(headers::kHandle).empty()) {
    rejection.reason = std::string(headers::kHandle) + ": not accepted from callers";
    return std::nullopt;
  }
  ParsedTarget target;
  if (!parseTarget(request, target, rejection)) {
    return std::nullopt;
  }
  FrontRequest front;
  front.caller_key = request.header(headers::kCaller);
  if (!front.caller_key.empty() && !isToken(front.caller_key, kMaximumKeyBytes)) {
    rejection.reason =
        std::string(headers::kCaller) + ": expected letters, digits, '-', '_', '.', ':'";
    return std::nullopt;
  }
  front.service = std::move(target.service);
  front.payload = std::move(target.payload);
  front.idempotency_key = std::move(target.idempotency_key);
  front.deadline = target.deadline;
  return front;
}

std::optional<EgressRequest> parseEgressRequest(const HttpRequest& request,
                                                RequestRejection& rejection) {
  ParsedTarget target;
  if (!parseTarget(request, target, rejection)) {
    return std::nullopt;
  }
  EgressRequest egress;
  egress.handle = request.header(headers::kHandle);
  egress.repeatable = request.method == "GET";
  egress.service = std::move(target.service);
  egress.payload = std::move(target.payload);
  egress.idempotency_key = std::move(target.idempotency_key);
  egress.deadline = target.deadline;
  return egress;
}

HttpResponse responseOf(const CallAnswer& answer) {
  HttpResponse response;
  const ErrorAnswer& row = errorAnswer(answer.error);
  response.headers.push_back({headers::kOutcome, std::string(outcomeName(answer.outcome))});
  if (answer.error == ErrorKind::kNone) {
    response.status = static_cast<int>(answer.status);
    response.content_type = answer.content_type;
    response.body = answer.body;
    return response;
  }
  response.status = row.http_status;
  response.headers.push_back({headers::kError, std::string(row.name)});
  if (row.retry_after) {
    const Duration after = std::max<Duration>(answer.retry_after, milliseconds(1));
    response.headers.push_back({headers::kRetryAfter, secondsRoundedUp(after)});
    response.headers.push_back({headers::kRetryAfterMs, std::to_string(after.count() / 1000)});
  }
  response.content_type = "text/plain";
  response.body = std::string(row.name) + '\n';
  return response;
}

HttpResponse responseOf(const RequestRejection& rejection) {
  HttpResponse response = responseOf(errorCallAnswer({}, rejection.kind));
  response.body = std::string(errorAnswer(rejection.kind).name) + ": " + rejection.reason + '\n';
  return response;
}

}  // namespace ramppond
