// Malformed requests, documents and settings, with real processes.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

using namespace std::string_literals;

TEST_F(ForwardingTest, MalformedInputIsRefusedAndProgramsKeepRunning) {
  const std::string host = "Host: app.example\r\n";
  const std::string unfinished = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"s;
  const std::vector<std::string> malformed_heads = {
      "nonsense\r\n\r\n",
      unfinished + "\r\n\r\n",
      "GET /one/x HTTP/3.7\r\n" + host + "\r\n",
      "GET /one/x\r\n\r\n",
      "GET  HTTP/1.1\r\n" + host + "\r\n",
      "GET /one/x HTTP/1.1\r\nHost app.example\r\n\r\n",
      "GET /one/x HTTP/1.1\r\n: empty\r\n\r\n",
      "POST /two/x HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST /two/x HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n",
      "POST /two/x HTTP/1.1\r\n" + host + "Content-Length: three\r\n\r\nabc",
      "POST /two/x HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999999\r\n\r\n",
      "POST /two/x HTTP/1.1\r\n" + host +
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /two/x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
      "POST /two/x HTTP/1.1\r\n" + host +
          "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
  };
  for (const std::uint16_t port :
       {deployment_.ports.clients, deployment_.ports.peers, deployment_.ports.reports}) {
    const std::string answer =
        deployment_.sendUnfinished(deployment_.serverHost(0), port, unfinished);
    EXPECT_TRUE(answer.empty() || answer.substr(0, 10) == "HTTP/1.1 4") << answer;
  }
  for (const std::string& bytes : malformed_heads) {
    for (const std::uint16_t port :
         {deployment_.ports.clients, deployment_.ports.peers, deployment_.ports.reports}) {
      const std::string answer = deployment_.sendRaw(deployment_.serverHost(0), port, bytes);
      EXPECT_TRUE(answer.empty() || answer.substr(0, 10) == "HTTP/1.1 4") << bytes << answer;
    }
  }
  // The port for peers accepts larger headers, because peers add fields of their own.
  const std::string large = "GET /one/x HTTP/1.1\r\n" + host + "X: " + std::string(20000, 'x');
  for (const std::uint16_t port : {deployment_.ports.clients, deployment_.ports.reports}) {
    const std::string answer =
        deployment_.sendRaw(deployment_.serverHost(0), port, large + "\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 431");
  }
  const std::vector<std::pair<std::string, std::string>> unusual_requests = {
      {"GET /nowhere/ HTTP/1.1\r\n" + host + "\r\n", "404"},
      {"GET /one/x HTTP/1.1\r\nHost: other.example\r\n\r\n", "404"},
      {"GET /one/x HTTP/1.1\r\n\r\n", "404"},
      {"POST /two/x HTTP/1.1\r\n" + host + "Content-Length: 200000\r\n\r\n", "413"},
      {"GET /one/x HTTP/1.1\r\n" + host + "Deadline-Ms: nonsense\r\nRequest-Id: o1\r\n\r\n", "200"},
      {"GET /one/x HTTP/1.1\r\n" + host + "Deadline-Ms: 1e300\r\nRequest-Id: o2\r\n\r\n", "200"},
      {"GET /one/x HTTP/1.1\r\n" + host + "Deadline-Ms: -5\r\nRequest-Id: o3\r\n\r\n", "200"},
      {"GET /one/x HTTP/1.1\r\n" + host + "Deadline-Ms: 0\r\nRequest-Id: o4\r\n\r\n", "503"},
      {"GET /one/x HTTP/1.1\r\n" + host + "Ramppond-Outcome: unknown\r\nRequest-Id: o5\r\n\r\n",
       "200"},
      {"GET /one/x HTTP/1.0\r\n" + host + "Request-Id: o6\r\n\r\n", "200"},
  };
  for (const auto& [bytes, status] : unusual_requests) {
    const std::string answer =
        deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.clients, bytes);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + status) << bytes << answer;
  }
  const std::vector<std::string> documents = {
      "",
      "{",
      "[]",
      "null",
      R"({"version":"00000009"})",
      R"({"version":"x","resources":[]})",
      R"({"version":"00000009","resources":[{"type":"routes"}]})",
      configurationDocument("00000009", "no-slash"),
      configurationDocument("00000001", "/o/"),
      configurationDocument("00000009", "/o/").substr(0, 300)};
  for (const std::string& document : documents) {
    const int status = deployment_.put("00000002", document);
    EXPECT_TRUE(status >= 400 && status < 500) << status << " for " << document;
  }
  EXPECT_EQ(deployment_.sendRaw(deployment_.controlHost(0), deployment_.ports.members,
                                std::string(64, '\xff')),
            "");
  EXPECT_EQ(
      deployment_.sendRaw(deployment_.controlHost(0), deployment_.ports.operators, "x\r\n\r\n")
          .substr(0, 12),
      "HTTP/1.1 400");
  const std::string report = "POST /api/instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\n";
  EXPECT_EQ(deployment_
                .sendRaw(deployment_.serverHost(0), deployment_.ports.reports,
                         report + "Content-Length: 2\r\n\r\n{}")
                .substr(0, 12),
            "HTTP/1.1 400");
  EXPECT_TRUE(allServe("/one/x"));
  for (const auto& program : deployment_.proxies) {
    EXPECT_TRUE(program->running());
  }
  for (const auto& program : deployment_.control) {
    EXPECT_TRUE(program->running());
  }
}

TEST(ForwardingSettings, InvalidSettingsFileEndsProgramWithStatus2) {
  Deployment day;
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {"", "name"},
      {"name = 5\n", "name"},
      {"name = \"a\"\nunheard = 1\n", ""},
      {"name = [\n", ""},
  };
  int number = 0;
  for (const auto& [text, key] : wrong) {
    for (const char* program : {RAMPPOND_PROXY, RAMPPOND_COORDINATOR}) {
      const std::string path = day.folder + "/wrong-" + std::to_string(number++) + ".toml";
      FILE* file = std::fopen(path.c_str(), "w");
      std::fputs(text.c_str(), file);
      std::fclose(file);
      Program run(program, path, path + ".log");
      ASSERT_TRUE(day.runUntil([&] { return !run.running(); }));
      EXPECT_EQ(run.exitStatus(), 2) << path << " " << key;
    }
  }
}

TEST(ForwardingSettings, BoundWithoutNameEndsProgramWithError) {
  Deployment day;
  const std::string path = day.folder + "/bounds.toml";
  std::ofstream(path) << R"(name = "a"
zone = "z"
service = "s"
client_address = "127.0.0.1:1"
peer_address = "127.0.0.1:1"
readiness_address = "127.0.0.1:1"
report_address = "127.0.0.1:1"
server_address = "127.0.0.1:1"
member_port = 1
seeds = []
bounds = ["2.5", "10"]
)";
  Program run(RAMPPOND_PROXY, path, path + ".log");
  ASSERT_TRUE(day.runUntil([&] { return !run.running(); }));
  EXPECT_EQ(run.exitStatus(), 2);
  std::stringstream log;
  log << std::ifstream(path + ".log").rdbuf();
  EXPECT_NE(log.str().find("bounds: expected NAME=VALUE, found '2.5'"), std::string::npos);
}

TEST_F(ForwardingTest, MalformedHeartbeatsAreRefusedAndRegisterNoServer) {
  const std::string service = R"("info":{"service":"unheard-of","slots":9,"zone":"z"})";
  const std::string own = R"("info":{"service":"one","slots":9,"zone":"z"})";
  const std::string ready = R"("status":{"state":"ready","seq":1,"cold_left_s":0})";
  const std::vector<std::string> bodies = {
      "\x01\xff"s,
      R"({"address":"127.0.0.1:9",)" + service + "," + ready + "}",
      R"({"address":"127.0.0.1:9",)" + own + R"(,"status":{"state":"resting","seq":1}})",
      R"({"address":"127.0.0.1:9","born":"now",)" + own + "," + ready + "}",
      R"({"address":7,)" + own + "," + ready + "}",
  };
  for (const std::string& body : bodies) {
    const std::string head = "POST /api/instances/other/heartbeat HTTP/1.1\r\nHost: a\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    for (int machine = 0; machine < Deployment::kServerMachines; ++machine) {
      const std::string answer = deployment_.sendRaw(
          deployment_.serverHost(machine), deployment_.ports.reports, head + length + body);
      EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << body;
    }
  }
  const std::string answer =
      deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.clients,
                          "GET /one/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: after\r\n\r\n");
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
}

}  // namespace
}  // namespace ramppond::fake_platform
