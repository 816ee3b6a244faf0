// An HTTP/1.1 server over Pistache whose answers may come later and from any thread.
//
// A request with a field name that is no token is answered with 400, as is what follows it on its
// connection; neither is handed on.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;  ///< "GET", "POST", ...
  std::string path;    ///< Without the query.
  std::vector<HttpHeader> headers;
  std::string body;

  /// The value of a header, by case-insensitive name; empty if there is none.
  [[nodiscard]] std::string header(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string content_type;       ///< "type/subtype"; empty for none.
  bool close_connection = false;  ///< Ask the requester to open a new one next time.
};

struct HttpServerOptions {
  Endpoint listen;  ///< Port 0 takes a free one.
  int threads = 1;
  std::size_t maximum_request_bytes = 1 << 20;
};

/// Names one request until it is answered.
using HttpToken = std::uint64_t;

class HttpServer {
 public:
  using RequestHandler = std::function<void(HttpToken, HttpRequest)>;
  using GoneHandler = std::function<void(HttpToken)>;

  /// Handlers run on the server's threads. `on_gone` tells that the requester closed its
  /// connection before it was answered; it must not wait for anything.
  HttpServer(HttpServerOptions options, RequestHandler on_request, GoneHandler on_gone);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen. Nothing on success, else the reason.
  std::optional<std::string> start();
  void stop();
  [[nodiscard]] std::uint16_t port() const;
  /// Answers once; does nothing if the requester has gone. Thread safe. Answers on one connection
  /// go out in the order of its requests, whatever the order of these calls.
  void respond(HttpToken token, HttpResponse response);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace ramppond
