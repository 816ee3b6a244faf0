// HTTP requests by libcurl: one multi handle on one thread, woken for new work. libcurl transports;
// answers are read by ResponseReader.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "net/http_server.h"

namespace ramppond {

/// The most that one answer may bring: interim answers, head and trailer, and the body.
constexpr std::size_t kMaximumResponseHeadBytes = 65536;
constexpr std::size_t kMaximumResponseBodyBytes = 64U << 20U;

struct HttpClientOptions {
  std::size_t connections_per_host = 110;
  Duration connect_timeout = milliseconds(500);
  std::size_t maximum_body_bytes = kMaximumResponseBodyBytes;
};

struct HttpClientRequest {
  std::string method = "POST";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout{0};
  /// Take a new connection. libcurl sends a request again by itself when an idle connection turns
  /// out to be dead, which a call that may not be repeated must not risk.
  bool fresh_connection = false;
};

struct HttpClientResult {
  bool complete = false;    ///< A whole response is at hand.
  bool never_sent = false;  ///< Not complete, and no byte of the request left.
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string reason;  ///< Why it is not complete.

  [[nodiscard]] std::string header(const std::string& name) const;
};

/// Thread safe. Callbacks run on the client's thread, each exactly once unless cancelled.
class HttpClient {
 public:
  using Callback = std::function<void(HttpClientResult)>;

  explicit HttpClient(HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::uint64_t send(HttpClientRequest request, Callback callback);
  /// Closes the connection of a request; its callback is not run.
  void cancel(std::uint64_t id);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Sends one request and waits. For command-line tools and tests.
HttpClientResult sendAndWait(HttpClient& client, HttpClientRequest request);

}  // namespace ramppond
