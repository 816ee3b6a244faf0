// Test fixture with real processes: a deployment in which a configuration is in force on every
// daemon and every server has served a request.
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
        [this] { return allServe("/one/x") && allServe("/two/x") && everyServerHasServed(); }));
  }
  /// After a failure prints the logs and states of all programs, to make rare failures traceable.
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
  /// A server whose first heartbeat was not accepted becomes known only after the next heartbeat.
  bool everyServerHasServed() {
    return std::all_of(deployment_.servers.begin(), deployment_.servers.end(),
                       [](const auto& server) { return !server->runs.empty(); });
  }
  /// Returns what all programs have logged so far.
  std::string log() const;
  /// Returns whether a program has logged a line that contains `text`.
  bool logContains(const std::string& text);
  int runsOf(const std::string& id) {
    int runs = 0;
    for (const auto& server : deployment_.servers) {
      const auto found = server->runs.find(id);
      runs += found == server->runs.end() ? 0 : found->second;
    }
    return runs;
  }

  /// Sends `count` requests, at most `max_in_flight` at a time. Returns the answers by request id.
  std::map<std::string, Answer> sendMany(std::size_t count, std::size_t max_in_flight);

  Deployment deployment_;
  std::uint64_t next_ = 1;
};

/// Returns whether request `number` of sendMany() goes to the unsafe route, whose requests must not
/// be retried.
bool isUnsafe(std::size_t number);
/// Returns whether `answer` is the complete answer of a server to request `number` of sendMany().
bool isCorrectAnswer(std::size_t number, const Answer& answer);

}  // namespace ramppond::fake_platform
