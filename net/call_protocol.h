// The HTTP side of the call port and of the port for the own back end (docs/PROTOCOL.md).
#pragma once

#include <optional>
#include <string>

#include "core/call_port/daemon_core.h"
#include "net/http_server.h"

namespace ramppond {

namespace headers {
constexpr char kCaller[] = "Ramppond-Caller";          ///< Key by which a caller has a class.
constexpr char kDeadline[] = "Ramppond-Deadline-Ms";   ///< Time left, both ways.
constexpr char kIdempotencyKey[] = "Idempotency-Key";  ///< IETF httpapi draft.
constexpr char kHandle[] = "Ramppond-Handle";          ///< Own back end only: whose call.
constexpr char kOutcome[] = "Ramppond-Outcome";        ///< not_run, ran, unknown.
constexpr char kError[] = "Ramppond-Error";            ///< Name of the error kind.
constexpr char kRequest[] = "Ramppond-Request";        ///< Id of the front request.
constexpr char kRetryAfter[] = "Retry-After";          ///< RFC 9110, 10.2.3; seconds.
constexpr char kRetryAfterMs[] = "Ramppond-Retry-After-Ms";
constexpr char kLimit[] = "Ramppond-Limit";  ///< From a back end: calls a second that it takes.
constexpr char kDraining[] = "Ramppond-Draining";  ///< From a back end: it is leaving.
}  // namespace headers

/// Why a request was not taken: the kind, and the text for the body.
struct RequestRejection {
  ErrorKind kind = ErrorKind::kMalformedRequest;
  std::string reason;
};

/// Reads a caller's request, `/SERVICE/PATH`. Sets `rejection` and gives nothing if it is refused.
std::optional<FrontRequest> parseFrontRequest(const HttpRequest& request,
                                              RequestRejection& rejection);
/// Reads a request of the own back end.
std::optional<EgressRequest> parseEgressRequest(const HttpRequest& request,
                                                RequestRejection& rejection);
/// The answer as the requester gets it.
HttpResponse responseOf(const CallAnswer& answer);
HttpResponse responseOf(const RequestRejection& rejection);

}  // namespace ramppond
