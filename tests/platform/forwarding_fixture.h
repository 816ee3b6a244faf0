// The fixture of the tests with real processes: a deployment of the stand-in with a configuration
// in force on every daemon.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "tests/platform/fake_platform.h"

namespace ramppond::fake_platform {

class ForwardingTest : public testing::Test {
 protected:
  void SetUp() override {
    deployment_.startControl();
    deployment_.startProxies();
    deployment_.startServers();
    ASSERT_EQ(deployment_.put("0", configurationDocument("00000002", "/first/")), 200);
    ASSERT_TRUE(deployment_.runUntil(
        [this] { return allServe("/one/x") && allServe("/two/x") && everyServerHasRun(); }));
  }
  /// What the programs wrote, and which still run: a failure that shows once must be traceable.
  void TearDown() override;
  Request request(const std::string& target, const std::string& id) {
    Request request;
    request.host = "app.example";
    request.target = target;
    request.request_id = id;
    request.headers["Deadline-Ms"] = "4000";
    return request;
  }
  bool allServe(const std::string& target) {
    for (int machine = 0; machine < Deployment::kServerMachines; ++machine) {
      if (deployment_.send(machine, request(target, "probe-" + std::to_string(next_++))).status !=
          200) {
        return false;
      }
    }
    return true;
  }
  /// A server whose first heartbeat was not taken becomes known an interval later.
  bool everyServerHasRun() {
    return std::all_of(deployment_.servers.begin(), deployment_.servers.end(),
                       [](const auto& server) { return !server->runs.empty(); });
  }
  int runsOf(const std::string& id) {
    int runs = 0;
    for (const auto& server : deployment_.servers) {
      const auto found = server->runs.find(id);
      runs += found == server->runs.end() ? 0 : found->second;
    }
    return runs;
  }

  /// Sends `count` requests, at most `at_once` at a time; gives each answer by its request's id.
  std::map<std::string, Answer> sendMany(std::size_t count, std::size_t at_once);

  Deployment deployment_;
  std::uint64_t next_ = 1;
};

/// Whether request `number` of sendMany() goes to the route whose requests may not be repeated.
bool isUnsafe(std::size_t number);
/// Whether the answer to request `number` of sendMany() is its server's own, and whole.
bool isOwnAnswer(std::size_t number, const Answer& answer);

}  // namespace ramppond::fake_platform
