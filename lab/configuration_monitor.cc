#include "lab/configuration_monitor.h"

#include <chrono>
#include <map>

#include "common/process.h"

namespace ramppond {
namespace {

constexpr auto kPollPause = std::chrono::milliseconds(100);

}  // namespace

void ConfigurationMonitor::run() {
  std::map<std::string, double> seen;
  bool last_pass = false;
  while (!last_pass) {
    last_pass = stopping_;  // What is in force when it is stopped is still noted.
    for (const std::string& server : fleet_.serverNames()) {
      const auto index = fleet_.metric("daemon " + server, "configuration_index");
      if (!index || *index == seen[server]) {
        continue;
      }
      seen[server] = *index;
      HistoryEvent event;
      event.time_us = monotonicNow().count();
      event.type = HistoryEventType::kConfigurationInForce;
      event.who = server;
      event.number = static_cast<std::uint64_t>(*index);
      fleet_.record(event);
    }
    std::this_thread::sleep_for(kPollPause);
  }
}

}  // namespace ramppond
