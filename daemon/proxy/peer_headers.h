// Header fields that proxies of the forwarding path add for each other. They are taken off whatever
// comes from clients and servers and never reach either.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/admission/downstream_overload.h"
#include "core/placement/instance_directory.h"
#include "net/stream/http_head.h"

namespace ramppond {

/// Requests: the instance that was chosen; any other one must not run the request.
constexpr std::string_view kPeerInstance = "Ramppond-Instance";
constexpr std::string_view kPeerService = "Ramppond-Service";
constexpr std::string_view kPeerPriority = "Ramppond-Priority";
/// Requests: how long the request may wait before its server, in milliseconds.
constexpr std::string_view kPeerPatienceMs = "Ramppond-Patience-Ms";
/// Requests that must not run twice: the end of the request follows only when the proxy beside
/// the server has room and says so by an interim answer (102). Until then it has provably not run.
/// Value: how the body is framed towards the server; see BodyForm.
constexpr std::string_view kPeerConfirm = "Ramppond-Confirm";
/// Requests: present if it is a call of a server, or may be one.
constexpr std::string_view kPeerCall = "Ramppond-Call";
/// Requests: present if the request may run twice.
constexpr std::string_view kPeerRetryable = "Ramppond-Repeatable";
/// Requests: present if a server may have run it before, or if such a retry called it.
constexpr std::string_view kPeerRetry = "Ramppond-Repeat";
/// Requests: asks the proxy itself, not its server, for an answer.
constexpr std::string_view kPeerPing = "Ramppond-Ping";
/// Answers made by the proxy beside the server: one of the values below, and a reason.
constexpr std::string_view kPeerOutcome = "Ramppond-Outcome";
/// Answers: the connection ends, and whatever request comes next on it is not read.
constexpr std::string_view kPeerFarewell = "Ramppond-Farewell";
/// Requests: the digest of the request (core/crash_evidence/request_digest.h).
constexpr std::string_view kPeerDigest = "Ramppond-Digest";
/// Requests: present if the connection to its last server was lost while it ran there.
constexpr std::string_view kPeerSuspect = "Ramppond-Suspect";
/// Answers with the outcome kOutcomeBlocked: for how long, in milliseconds.
constexpr std::string_view kPeerBlockedMs = "Ramppond-Barred-Ms";
/// Requests: the name of the route.
constexpr std::string_view kPeerRoute = "Ramppond-Route";
/// Answers: overload at the services that requests of this route need further down, "service=level
/// in thousandths of a rank", separated by commas.
constexpr std::string_view kPeerOverload = "Ramppond-Overload";
/// Answers: the load of the server, "limit/under way/waiting/service time in microseconds/
/// thousandths of recent requests that failed/shed level in thousandths of a rank".
constexpr std::string_view kPeerLoad = "Ramppond-Load";

/// Answers: the limit that the server names, "requests a second/demand as a multiple of it", both
/// in thousandths. Absent while it names none.
constexpr std::string_view kPeerRate = "Ramppond-Rate";
/// Requests: the limit of that instance which the sender was told last, in the same form, for a
/// proxy that has started anew since.
constexpr std::string_view kPeerToldRate = "Ramppond-Told-Rate";

/// The request was not handed to the server, for want of room.
constexpr std::string_view kOutcomeBusy = "busy";
/// It was not handed to the server: that instance takes no requests any more.
constexpr std::string_view kOutcomeFenced = "fenced";
/// It was not handed to this server, for what is known of the request, not for want of room.
constexpr std::string_view kOutcomeElsewhere = "elsewhere";
/// It was not handed to the server and will not be anywhere: it ends the servers that run it.
constexpr std::string_view kOutcomeBlocked = "barred";
/// The server received it and says that it did not run.
constexpr std::string_view kOutcomeNotRun = "not_run";
/// It may have run, and no answer can be had.
constexpr std::string_view kOutcomeUnknown = "unknown";

/// The body of a request whose end is held back: "BYTES" if its length is told to the server,
/// "BYTES chunked" if not, "none" if there is no body.
struct BodyForm {
  std::uint64_t bytes = 0;
  BodyFraming framing = BodyFraming::kNone;
};
std::string formatBodyForm(const BodyForm& form);
/// Nothing if the text is not of the form.
std::optional<BodyForm> parseBodyForm(const std::string& text);

/// Removes every field whose name begins with "Ramppond-".
void removePeerHeaders(HttpHead& head);
std::string formatLoad(const ServerLoad& load);
std::optional<ServerLoad> parseLoad(const std::string* text);
std::string formatRate(const rate_load& rate);
/// Nothing if the text is not of the form.
std::optional<rate_load> parseRate(const std::string* text);
/// Services whose names would break the form are left out.
std::string formatOverload(const std::vector<service_overload>& levels);
/// Entries that are not of the form are passed over.
std::vector<service_overload> parseOverload(const std::string* text);
/// A number of milliseconds, fractions allowed; nothing if it is not one or is below 0.
std::optional<Duration> parseMilliseconds(const std::string* text);
/// Whole milliseconds, rounded down.
std::string formatMilliseconds(Duration time);

}  // namespace ramppond
