// The admin port that every process has: /metrics for Prometheus and /status for a browser.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/metrics.h"
#include "net/http_server.h"

namespace ramppond {

/// Serves the pages of one process. `collect` runs on the server's thread.
class AdminPages {
 public:
  using Collector = std::function<MetricsPage()>;
  /// Extra action, e.g. "/drain"; takes the body and gives the text of the answer.
  using PostAction = std::function<std::string(const std::string&)>;

  AdminPages(const Endpoint& listen, std::string title, Collector collect);
  void onPost(const std::string& path, PostAction action);
  std::optional<std::string> start() { return server_->start(); }

 private:
  void answer(HttpToken token, const HttpRequest& request);

  std::string title_;
  Collector collect_;
  std::map<std::string, PostAction> post_actions_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace ramppond
