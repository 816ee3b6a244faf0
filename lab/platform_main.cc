// ramppond-platform: a stand-in for the platform's list of live and leaving machines, which lags.
#include <deque>
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

PlatformSettings settingsOf(SettingsTable& root) {
  PlatformSettings settings;
  settings.listen = endpointSetting(root, "listen", "");
  settings.lag = milliseconds(root.optionalInteger("lag_ms", 0, {0, 600000}));
  return settings;
}

std::optional<PlatformSettings> readPlatformSettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, settingsOf);
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

ExitCode run(const CommandLine& /*command_line*/, const PlatformSettings& settings) {
  PlatformList list(settings.lag);
  HttpServerOptions options;
  options.listen = settings.listen;
  options.maximum_request_bytes = 16 << 20;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      options,
      [&](HttpToken token, const HttpRequest& request) {
        server->respond(token, answer(list, request));
      },
      [](HttpToken) {});
  if (const auto reason = server->start()) {
    return reportFailure("ramppond-platform: ", *reason);
  }
  waitForStopSignal();
  server->stop();
  return ExitCode::kSuccess;
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
  return runProgram<PlatformSettings>(spec, argc, argv, readPlatformSettings, run);
}
