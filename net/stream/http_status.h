// Status codes that ramppond's own answers use (RFC 9110, section 15; 102 from RFC 2518).
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

}  // namespace ramppond
