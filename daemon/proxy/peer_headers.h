// Header fields that proxies of the forwarding path exchange with each other. They are removed from
// messages of clients and servers and never passed on to either.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/admission/downstream_overload.h"
#include "core/admission/share_shedding.h"
#include "core/placement/instance_directory.h"
#include "core/request_root.h"
#include "net/stream/http_head.h"

namespace ramppond {

/// Requests: the chosen instance. No other instance may run the request.
constexpr std::string_view kPeerInstance = "Ramppond-Instance";
constexpr std::string_view kPeerService = "Ramppond-Service";
constexpr std::string_view kPeerPriority = "Ramppond-Priority";
/// Requests: the maximum time the request may be queued at its server, in milliseconds.
constexpr std::string_view kPeerPatienceMs = "Ramppond-Patience-Ms";
/// Requests that must not run twice: the last chunk is sent only after the proxy beside the server
/// has confirmed by an interim response (102) that there is room. Until then the request cannot
/// have run. Value: how the body is framed towards the server; see WithheldBody.
constexpr std::string_view kPeerConfirm = "Ramppond-Confirm";
/// Requests: present if the request is a call of a server, or may be one.
constexpr std::string_view kPeerCall = "Ramppond-Call";
/// Requests: present if the request may run twice.
constexpr std::string_view kPeerRetryable = "Ramppond-Repeatable";
/// Requests: present if a server may have run the request before, or if it is a call made by such a
/// retry.
constexpr std::string_view kPeerRetry = "Ramppond-Repeat";
/// Requests: present if the request is a ping, which the proxy answers itself.
constexpr std::string_view kPeerPing = "Ramppond-Ping";
/// Answers given by the proxy beside the server: one of the outcome tokens below, and a reason.
constexpr std::string_view kPeerOutcome = "Ramppond-Outcome";
/// Answers: the connection is closing, and no further request on it is read.
constexpr std::string_view kPeerFarewell = "Ramppond-Farewell";
/// Requests: the digest of the request (core/crash_evidence/request_digest.h).
constexpr std::string_view kPeerDigest = "Ramppond-Digest";
/// Requests: present if the connection to the previous server was lost while the request ran there.
constexpr std::string_view kPeerSuspect = "Ramppond-Suspect";
/// Answers with the outcome kOutcomeBlocked: how long the request stays blocked, in milliseconds.
constexpr std::string_view kPeerBlockedMs = "Ramppond-Barred-Ms";
/// Requests: the name of the route.
constexpr std::string_view kPeerRoute = "Ramppond-Route";
/// Requests: the client's request at the root of the call tree: "rank/1 if its client may send it
/// again, else 0/caller", the caller percent-encoded. Absent if unknown or if no active part uses
/// it.
constexpr std::string_view kPeerRoot = "Ramppond-Root";
/// Answers: overload at the services that requests of this route need further down: "service=level
/// in thousandths of a rank", separated by commas.
constexpr std::string_view kPeerOverload = "Ramppond-Overload";
/// Answers: the load of the server: "limit/under way/waiting/service time in
/// microseconds/thousandths of recent requests that failed/shed level in thousandths of a rank".
constexpr std::string_view kPeerLoad = "Ramppond-Load";
/// Answers: thousandths of the recent requests of this request's caller that exceeded its fair
/// share at the server, or at a service that the server's calls need, whichever is more. Absent if
/// 0.
constexpr std::string_view kPeerShare = "Ramppond-Share";

/// Answers: the rate limit that the server announces: "requests a second/demand as a multiple of
/// it", both in thousandths. Absent while the server announces none.
constexpr std::string_view kPeerRate = "Ramppond-Rate";
/// Answers and pings: the present duration of work on the server's machine in percent of the usual
/// duration. Absent while unknown.
constexpr std::string_view kPeerSlowdown = "Ramppond-Slowdown";
/// Requests: the rate limit of the chosen instance that the sender learned last, in the same
/// format, for a proxy that has restarted since.
constexpr std::string_view kPeerToldRate = "Ramppond-Told-Rate";

/// The request was not sent to the server: there was no room.
constexpr std::string_view kOutcomeBusy = "busy";
/// The request was not sent to the server: the instance no longer accepts requests.
constexpr std::string_view kOutcomeFenced = "fenced";
/// The request was not sent to this server because of what is known of the request, not for lack of
/// room.
constexpr std::string_view kOutcomeElsewhere = "elsewhere";
/// The request was not sent to the server and will not be sent to any: it crashes servers that run
/// it.
constexpr std::string_view kOutcomeBlocked = "barred";
/// The server received the request and declared that it did not run.
constexpr std::string_view kOutcomeNotRun = "not_run";
/// The request may have run, and its answer is lost.
constexpr std::string_view kOutcomeUnknown = "unknown";

/// The body of a request whose last chunk is withheld: "BYTES" if its length is declared to the
/// server, "BYTES chunked" if not, "none" if there is no body.
struct WithheldBody {
  std::uint64_t bytes = 0;
  BodyFraming framing = BodyFraming::kNone;
};
std::string formatWithheldBody(const WithheldBody& form);
/// Returns std::nullopt if the text is malformed.
std::optional<WithheldBody> parseWithheldBody(const std::string& text);

/// Removes every field whose name begins with "Ramppond-".
void removePeerHeaders(HttpHead& head);
std::string formatLoad(const ServerLoad& load);
std::optional<ServerLoad> parseLoad(const std::string* text);
std::string formatRate(const rate_load& rate);
/// Returns std::nullopt if the text is malformed.
std::optional<rate_load> parseRate(const std::string* text);
/// Returns std::nullopt if the text is not a whole number within the bounds of
/// core/admission/server_load_report.h.
std::optional<std::uint32_t> parseSlowdown(const std::string* text);
/// A caller whose encoded name exceeds 96 bytes is replaced by a digest of its name.
std::string formatRoot(const request_root& root);
/// Returns std::nullopt if the text is malformed.
std::optional<request_root> parseRoot(const std::string* text);
/// Returns no excess if the text is missing or malformed; larger values than 1000 are clamped.
reported_excess parseExcess(const std::string* text);
/// Leaves out services whose names contain separators.
std::string formatOverload(const std::vector<service_overload>& levels);
/// Skips malformed entries.
std::vector<service_overload> parseOverload(const std::string* text);
/// Parses a number of milliseconds, fractions allowed; std::nullopt if malformed or negative.
std::optional<Duration> parseMilliseconds(const std::string* text);
/// Formats as whole milliseconds, rounded down.
std::string formatMilliseconds(Duration time);

}  // namespace ramppond
