#include "lab/latency_run.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

#include "common/command_line.h"

namespace ramppond {
namespace {

constexpr double kMegabyte = 1 << 20;

struct Percentiles {
  double p50_ms = 0;
  double p99_ms = 0;
};

std::unique_ptr<ChildProcess> startLoad(const Fleet& fleet, bool direct, double rate,
                                        Duration duration, const std::string& report) {
  const auto targets = direct ? fleet.backendAddresses() : fleet.frontAddresses();
  std::vector<std::string> command = {fleet.program("ramppond-load"),
                                      "--config",
                                      fleet.folder() + "/deployment.toml",
                                      "--target",
                                      joinList(targets),
                                      "--rate",
                                      std::to_string(rate * static_cast<double>(targets.size())),
                                      "--duration",
                                      std::to_string(static_cast<double>(duration.count()) / 1e6),
                                      "--retry",
                                      "none"};
  if (direct) {
    command.emplace_back("--direct");
  }
  return std::make_unique<ChildProcess>(command, report);
}

std::optional<Percentiles> readLoad(const std::string& report) {
  std::ifstream file(report);
  const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
  if (!document.is_object() || document["rows"].empty()) {
    return std::nullopt;
  }
  const auto& row = document["rows"][0];
  if (row["completed"] != row["offered"]) {
    return std::nullopt;
  }
  return Percentiles{row["p50_ms"], row["p99_ms"]};
}

}  // namespace

std::optional<LatencyResult> measureLatency(Fleet& fleet, double rate, Duration duration) {
  LatencyResult result;
  for (const std::string& server : fleet.serverNames()) {
    const double bytes = fleet.metric("daemon " + server, "process_resident_bytes").value_or(0);
    result.idle_daemon_megabytes = std::max(result.idle_daemon_megabytes, bytes / kMegabyte);
  }
  const std::string through_report = fleet.folder() + "/through.json";
  const std::string direct_report = fleet.folder() + "/direct.json";
  const auto through = startLoad(fleet, false, rate, duration, through_report);
  const auto direct = startLoad(fleet, true, rate, duration, direct_report);
  through->wait();
  direct->wait();
  const auto daemons = readLoad(through_report);
  const auto straight = readLoad(direct_report);
  if (!daemons || !straight) {
    return std::nullopt;
  }
  result.daemons_p50_ms = daemons->p50_ms;
  result.daemons_p99_ms = daemons->p99_ms;
  result.direct_p50_ms = straight->p50_ms;
  result.direct_p99_ms = straight->p99_ms;
  return result;
}

void printLatencyResult(const LatencyResult& result, double rate, std::ostream& output) {
  output << std::fixed << std::setprecision(2) << rate << " calls/s a daemon: direct p50 "
         << result.direct_p50_ms << " ms, p99 " << result.direct_p99_ms << " ms; two daemons p50 "
         << result.daemons_p50_ms << " ms, p99 " << result.daemons_p99_ms << " ms; added p50 "
         << result.addedP50Ms() << " ms, p99 " << result.addedP99Ms() << " ms; idle daemon "
         << result.idle_daemon_megabytes << " MB\n";
}

}  // namespace ramppond
