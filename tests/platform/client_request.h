// Requests and answers as the clients, servers and the operator of the test double see them.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "net/stream/http_client.h"

namespace ramppond::fake_platform {

/// An answer as the client received it.
struct Answer {
  bool complete = false;  ///< False if the connection ended first.
  int status = 0;
  std::string body;
  std::string request_id;
  std::string retry_after;
  bool reports_leaving = false;  ///< The server announced that it is leaving.
};

struct Request {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string request_id;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Returns the head of the request, with the length of its body if it has one.
HttpHead makeHead(const Request& request);

/// Collects an answer and calls `done` at its end or on a failure.
class AnswerCollector : public ClientHandler {
 public:
  explicit AnswerCollector(std::function<void(const Answer&)> done) : done_(std::move(done)) {}
  void onResponseHead(HttpHead head) override {
    answer_.status = head.status;
    answer_.request_id = head.get("Request-Id");
    answer_.retry_after = head.get("Retry-After");
    answer_.reports_leaving = head.get("Server-Leaving") == "1";
    location_ = head.get("Location");
  }
  void onResponseBody(std::string_view data) override { answer_.body.append(data); }
  void onResponseEnd() override {
    answer_.complete = true;
    done_(answer_);
  }
  void onRequestFailed(ClientFailure /*failure*/) override { done_(answer_); }
  /// Of a redirect.
  [[nodiscard]] const std::string& location() const { return location_; }

 private:
  Answer answer_;
  std::string location_;
  std::function<void(const Answer&)> done_;
};

}  // namespace ramppond::fake_platform
