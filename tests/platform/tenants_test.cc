// Tenants, API keys and limits with real processes: which requests are served, which credentials a
// server receives, and what a daemon does without contact to the control group.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

const char kKey[] = "key-of-the-council-0001";
const char kOtherKey[] = "key-of-the-council-0002";
const char kUnknownKey[] = "key-of-nobody";
const char kRevocation[] = "revoke_s=1.5";
constexpr Duration kRevocationTime = milliseconds(1500);

class TenantsTest : public ForwardingTest {
 protected:
  void SetUp() override {
    deployment_.bounds = {"drain_timeout_s=2", "grace_s=6", "strict_revoke=true", kRevocation};
    ForwardingTest::SetUp();
    ASSERT_EQ(
        deployment_.put("00000002", tenantDocument("00000003", {{"council", {kKey, kOtherKey}}})),
        200);
    // A daemon that knows no tenants yet forwards a credential like any other field and answers 200
    // to every key; only the refusal of an unknown key shows that the configuration is in force.
    ASSERT_TRUE(deployment_.runUntil(
        [this] { return allMachinesAnswer(kUnknownKey, 401) && allMachinesAnswer(kKey, 200); }));
    for (const auto& server : deployment_.servers) {
      server->credentials_seen = 0;
    }
  }
  Answer sendWithCredential(int machine, const std::string& credential,
                            const std::string& target = "/one/x") {
    Request wanted = request(target, "t-" + std::to_string(next_++));
    last_id_ = wanted.request_id;
    if (!credential.empty()) {
      wanted.headers["Authorization"] = credential;
    }
    wanted.headers["Tenant"] = "forged";
    return deployment_.send(machine, wanted);
  }
  bool allMachinesAnswer(const std::string& key, int status) {
    for (int machine = 0; machine < Deployment::kServerMachines; ++machine) {
      if (sendWithCredential(machine, "Bearer " + key).status != status) {
        return false;
      }
    }
    return true;
  }
  std::string tenantSeenByServer() {
    for (const auto& server : deployment_.servers) {
      const auto found = server->tenants.find(last_id_);
      if (found != server->tenants.end()) {
        return found->second;
      }
    }
    return "did not run";
  }

  std::string last_id_;
};

TEST_F(TenantsTest, ServerReceivesTenantButNeverKey) {
  EXPECT_EQ(sendWithCredential(0, std::string("Bearer ") + kOtherKey).status, 200);
  EXPECT_EQ(tenantSeenByServer(), "council");
  EXPECT_EQ(sendWithCredential(1, "", "/open/x").status, 200);
  EXPECT_EQ(tenantSeenByServer(), "");
  EXPECT_EQ(sendWithCredential(1, "Bearer nobodys", "/open/x").status, 200);
  EXPECT_EQ(tenantSeenByServer(), "");
  for (const auto& server : deployment_.servers) {
    EXPECT_EQ(server->credentials_seen, 0U);
  }
}

TEST_F(TenantsTest, InvalidCredentialsAreRefusedWithoutRun) {
  const std::string long_key(10000, 'k');
  for (const std::string& credential :
       {std::string(), std::string("Bearer nobodys"), std::string("Bearer "),
        std::string("Basic ") + kKey, std::string(kKey), "Bearer " + long_key,
        "Bearer " + std::string(kKey) + "x", std::string("Bearer KEY-of-the-council-0001")}) {
    EXPECT_EQ(sendWithCredential(0, credential).status, 401) << credential.substr(0, 40);
    EXPECT_EQ(tenantSeenByServer(), "did not run");
  }
  const std::string twice = deployment_.sendRaw(
      deployment_.serverHost(0), deployment_.ports.clients,
      "GET /one/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: twice\r\nAuthorization: Bearer " +
          std::string(kKey) + "\r\nAuthorization: Bearer " + kKey + "\r\n\r\n");
  EXPECT_EQ(twice.substr(0, 12), "HTTP/1.1 401");
  EXPECT_EQ(runsOf("twice"), 0);
}

TEST_F(TenantsTest, RemovedKeyIsRefusedAndOtherKeyStaysValid) {
  ASSERT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{"council", {kOtherKey}}})),
            200);
  EXPECT_TRUE(deployment_.runUntil([this] { return allMachinesAnswer(kKey, 401); }));
  EXPECT_TRUE(allMachinesAnswer(kOtherKey, 200));
}

TEST_F(TenantsTest, LastKeyOfTenantCanBeRemoved) {
  ASSERT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{"council", {}}})), 200);
  EXPECT_TRUE(deployment_.runUntil([this] { return allMachinesAnswer(kKey, 401); }));
}

// Without contact to the control group a daemon cannot know whether a key is still valid. It
// refuses the request with 503, not 401, because the key may be valid.
TEST_F(TenantsTest, KeysExpireWithoutControlGroupAndPublicRoutesAreServed) {
  deployment_.control.clear();
  deployment_.runFor(kRevocationTime);
  const Answer answer = sendWithCredential(0, std::string("Bearer ") + kKey);
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_EQ(tenantSeenByServer(), "did not run");
  EXPECT_EQ(sendWithCredential(0, "Bearer nobodys").status, 503);
  EXPECT_EQ(sendWithCredential(0, "", "/open/x").status, 200);
  deployment_.startControl();
  EXPECT_TRUE(deployment_.runUntil([this] { return allMachinesAnswer(kKey, 200); }));
}

// Without a quorum the remaining member cannot know whether the others have removed a key.
TEST_F(TenantsTest, MemberWithoutQuorumDoesNotExtendKeys) {
  deployment_.control[1]->signal(SIGKILL);
  deployment_.control[2]->signal(SIGKILL);
  deployment_.runFor(2 * kRevocationTime);
  EXPECT_TRUE(allMachinesAnswer(kKey, 503));
}

// The daemon is frozen while the key is removed; the request waits in its socket.
TEST_F(TenantsTest, ResumedDaemonRefusesKeyRemovedWhileFrozen) {
  deployment_.proxies[0]->signal(SIGSTOP);
  ASSERT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{"council", {kOtherKey}}})),
            200);
  deployment_.runFor(kRevocationTime);
  Request wanted = request("/one/x", "frozen");
  wanted.headers["Authorization"] = std::string("Bearer ") + kKey;
  int status = 0;
  deployment_.sendLater(0, wanted, [&](const Answer& answer) { status = answer.status; });
  deployment_.runFor(milliseconds(50));
  deployment_.proxies[0]->signal(SIGCONT);
  EXPECT_TRUE(deployment_.runUntil([&] { return status != 0; }));
  EXPECT_TRUE(status == 503 || status == 401) << status;
  EXPECT_EQ(runsOf("frozen"), 0);
}

TEST_F(TenantsTest, RestartedDaemonRefusesKeysUntilControlGroupAnswers) {
  deployment_.control.clear();
  deployment_.proxies[0]->signal(SIGKILL);
  ASSERT_TRUE(deployment_.runUntil([this] { return !deployment_.proxies[0]->running(); }));
  deployment_.startProxy(0);
  ASSERT_TRUE(deployment_.runUntil([this] { return deployment_.readiness(0) != 0; }));
  EXPECT_EQ(sendWithCredential(0, std::string("Bearer ") + kKey).status, 503);
  EXPECT_EQ(tenantSeenByServer(), "did not run");
}

TEST_F(TenantsTest, TenantOverItsLimitGets429AndOthersAreServed) {
  constexpr int kRate = 5;
  ASSERT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{"council", {kKey}, kRate},
                                                                    {"grazier", {kOtherKey}}})),
            200);
  ASSERT_TRUE(deployment_.runUntil([this] { return allMachinesAnswer(kOtherKey, 200); }));
  std::size_t limited = 0;
  constexpr int kRequests = 400;  // More than rate, burst, excess and slack allow in one window.
  for (int number = 0; number < kRequests; ++number) {
    const Answer answer =
        sendWithCredential(number % Deployment::kServerMachines, std::string("Bearer ") + kKey);
    if (answer.status != 429) {
      continue;
    }
    limited += 1;
    EXPECT_FALSE(answer.retry_after.empty());
    EXPECT_EQ(tenantSeenByServer(), "did not run");
  }
  EXPECT_GT(limited, 0U);
  EXPECT_TRUE(allMachinesAnswer(kOtherKey, 200));
}

// Guards against a tenant's name that adds a header field to its requests: its server would see a
// forged calling service.
TEST_F(TenantsTest, NameWithLineBreakAddsNoField) {
  const std::string name = R"(council\r\nCaller-Service: forged)";
  EXPECT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{name, {kKey}}})), 400);
  constexpr int kRequests = 40;  // Some of them would come after the configuration is in force.
  for (int number = 0; number < kRequests; ++number) {
    const int machine = number % Deployment::kServerMachines;
    EXPECT_EQ(sendWithCredential(machine, std::string("Bearer ") + kKey).status, 200);
    EXPECT_EQ(tenantSeenByServer(), "council");
    for (const auto& server : deployment_.servers) {
      ASSERT_NE(server->caller_service, "forged");
    }
  }
}

// Guards against a limit that is used up by requests which no server has received: the tenant's
// other requests would be refused with 429.
TEST_F(TenantsTest, RequestsAbandonedBeforeTheyAreSentDoNotCountAgainstTheLimit) {
  constexpr int kRate = 20;
  ASSERT_EQ(deployment_.put("00000003", tenantDocument("00000004", {{"council", {kKey}, kRate},
                                                                    {"grazier", {kOtherKey}}})),
            200);
  ASSERT_TRUE(deployment_.runUntil([this] { return allMachinesAnswer(kOtherKey, 200); }));
  deployment_.runFor(seconds(2));  // The bucket of a new limit is empty.
  // Of each kind fewer than the limit, of both together more.
  constexpr Duration kPause = milliseconds(80);
  constexpr int kRequests = 144;
  for (int number = 0; number < kRequests; ++number) {
    const int machine = number % Deployment::kServerMachines;
    deployment_.abandon(deployment_.serverHost(machine), deployment_.ports.clients,
                        "POST /one/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: gone-" +
                            std::to_string(number) + "\r\nAuthorization: Bearer " + kKey +
                            "\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_EQ(sendWithCredential(machine, std::string("Bearer ") + kKey).status, 200) << number;
    deployment_.runFor(kPause);
  }
}

TEST_F(TenantsTest, LogsContainNoKey) {
  sendWithCredential(0, std::string("Bearer ") + kKey, "/none/x");
  sendWithCredential(0, "Bearer nobodys-own-key");
  deployment_.put("00000003", tenantDocument("00000004", {{"a", {kKey}}, {"b", {kKey}}}));
  std::stringstream log;
  log << std::ifstream(deployment_.folder + "/log").rdbuf();
  EXPECT_NE(log.str().find("configuration_refused"), std::string::npos);
  EXPECT_EQ(log.str().find("key-of-the"), std::string::npos);
  EXPECT_EQ(log.str().find("nobodys-own-key"), std::string::npos);
}

}  // namespace
}  // namespace ramppond::fake_platform
