// Status codes that ramppond's own answers use (RFC 9110, section 15; 102 from RFC 2518), and which
// numbers are a status.
#pragma once

namespace ramppond {

constexpr int kProcessing = 102;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kTemporaryRedirect = 307;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kPreconditionFailed = 412;
constexpr int kContentTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kHeadTooLarge = 431;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
// Above 599 no class is defined; a recipient should treat such a status as one of 5xx (RFC 9110,
// section 15), so that it is passed on as a failure of the server.
constexpr int kLastStatus = 999;

/// Whether a recipient may take this number, of the first line of an answer, for a status.
constexpr bool isStatus(int number) {
  return number >= kFirstStatus && number <= kLastStatus;
}

}  // namespace ramppond
