#include "net/admin_pages.h"

namespace ramppond {

AdminPages::AdminPages(const Endpoint& listen, std::string title, Collector collect)
    : title_(std::move(title)), collect_(std::move(collect)) {
  HttpServerOptions options;
  options.listen = listen;
  constexpr std::size_t kMaximumAdminRequest = 16384;
  options.maximum_request_bytes = kMaximumAdminRequest;
  server_ = std::make_unique<HttpServer>(
      options, [this](HttpToken token, const HttpRequest& request) { answer(token, request); },
      [](HttpToken) {});
}

void AdminPages::onPost(const std::string& path, PostAction action) {
  post_actions_[path] = std::move(action);
}

void AdminPages::answer(HttpToken token, const HttpRequest& request) {
  HttpResponse response;
  if (request.method == "GET" && request.path == "/metrics") {
    response.content_type = "text/plain";
    response.body = collect_().prometheusText();
  } else if (request.method == "GET" && (request.path == "/status" || request.path == "/")) {
    response.content_type = "text/html";
    response.body = collect_().html(title_);
  } else if (request.method == "POST" && post_actions_.count(request.path) != 0) {
    response.content_type = "text/plain";
    response.body = post_actions_.at(request.path)(request.body);
  } else {
    response.status = 404;
    response.content_type = "text/plain";
    response.body = "not found: try /status or /metrics\n";
  }
  server_->respond(token, std::move(response));
}

}  // namespace ramppond
