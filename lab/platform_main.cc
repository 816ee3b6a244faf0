// ramppond-platform: a stand-in for the platform's list of live and leaving machines, which lags.
#include <deque>
#include <iostream>
#include <mutex>

#include "common/process.h"
#include "common/program.h"
#include "control/platform_list.h"
#include "net/http_server.h"

namespace ramppond {
namespace {

struct PlatformSettings {
  Endpoint listen;
  Duration lag{0};
};

std::optional<PlatformSettings> readPlatformSettings(const std::string& path, std::string& error) {
  SettingsFile file(path);
  SettingsTable root = file.root();
  PlatformSettings settings;
  settings.listen = endpointSetting(root, "listen", "");
  settings.lag = milliseconds(root.optionalInteger("lag_ms", 0, {0, 600000}));
  root.finish();
  if (file.error()) {
    error = *file.error();
    return std::nullopt;
  }
  return settings;
}

// GET /servers gives the newest list that is at least `lag` old; PUT /servers sets the true list.
// The first list is visible at once.
class PlatformList {
 public:
  explicit PlatformList(Duration lag) : lag_(lag) {}

  void set(const std::vector<ServerInfo>& servers) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint visible = versions_.empty() ? TimePoint(0) : monotonicNow() + lag_;
    versions_.push_back({visible, formatPlatformList(servers)});
  }
  std::string visible() {
    const std::lock_guard<std::mutex> lock(mutex_);
    while (versions_.size() > 1 && versions_[1].visible <= monotonicNow()) {
      versions_.pop_front();
    }
    return versions_.empty() ? formatPlatformList({}) : versions_.front().json;
  }

 private:
  struct Version {
    TimePoint visible;
    std::string json;
  };
  std::mutex mutex_;
  Duration lag_;
  std::deque<Version> versions_;
};

HttpResponse answer(PlatformList& list, const HttpRequest& request) {
  HttpResponse response;
  response.content_type = "application/json";
  if (request.method == "GET" && request.path == "/servers") {
    response.body = list.visible();
    return response;
  }
  const auto servers = request.method == "PUT" ? parsePlatformList(request.body) : std::nullopt;
  if (!servers) {
    response.status = 400;
    return response;
  }
  list.set(*servers);
  return response;
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  CommandLineSpec spec;
  spec.program = "ramppond-platform";
  spec.synopsis = "--config FILE";
  spec.description = "Serves a list of servers that lags behind what it was last told.";
  spec.options = commonOptions();
  const CommandLine command_line(spec, argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  ExitCode exit_code = ExitCode::kSuccess;
  const auto settings =
      loadSettings<PlatformSettings>(command_line, readPlatformSettings, exit_code);
  if (!settings) {
    return exitStatus(exit_code);
  }
  PlatformList list(settings->lag);
  HttpServerOptions options;
  options.listen = settings->listen;
  options.maximum_request_bytes = 16 << 20;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      options,
      [&](HttpToken token, const HttpRequest& request) {
        server->respond(token, answer(list, request));
      },
      [](HttpToken) {});
  if (const auto reason = server->start()) {
    std::cerr << "ramppond-platform: " << *reason << '\n';
    return exitStatus(ExitCode::kFailure);
  }
  waitForStopSignal();
  server->stop();
  return exitStatus(ExitCode::kSuccess);
}
