#include "tests/platform/faulty_server_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kSoundTarget[] = "/sound";
constexpr int kFaultySlots = 32;  ///< So that all requests of a test run at a time.

std::string fieldOf(const std::string& head, const std::string& name) {
  const std::size_t begin = head.find(name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value = begin + name.size() + 2;
  return head.substr(value, head.find("\r\n", value) - value);
}

void replaceOnce(std::string& text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  ASSERT_NE(position, std::string::npos) << from;
  text.replace(position, from.size(), to);
}

std::string document() {
  std::string text = configurationDocument("00000002", "/safe/");
  const std::string upload =
      R"({"type":"routes","meta":{"name":"r-up"},"spec":{"host":"app.example","path_prefix":"/up/",)"
      R"("kind":"upload","timeout_s":9,"goal_s":1,"priority":1,"max_attempts":2,"service":"two"}},)";
  replaceOnce(text, R"({"type":"services","meta":{"name":"one"})",
              upload + R"({"type":"services","meta":{"name":"one"})");
  replaceOnce(text, R"("max_body_bytes":100000)", R"("max_body_bytes":67108864)");
  return text;
}

}  // namespace

std::string successHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n";
}

void FaultyServerTest::serve(RawServerConnection& connection) {
  for (std::string head; !(head = connection.readHead()).empty();) {
    const std::string id = fieldOf(head, "Request-Id");
    if (head.find(kSoundTarget) == std::string::npos) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        reached_.insert(id);
      }
      answering_(connection, id);
      return;
    }
    connection.send(successHead(id) + "Content-Length: 0\r\nConnection: close\r\n\r\n");
    return;
  }
}

void FaultyServerTest::start(Answering answering) {
  answering_ = std::move(answering);
  faulty_ =
      std::make_unique<RawServer>(deployment_.serverHost(kFaultyMachine), deployment_.ports.server,
                                  [this](RawServerConnection& connection) { serve(connection); });
  ASSERT_TRUE(faulty_->listening());
  deployment_.startControl();
  deployment_.startProxies();
  for (const int machine : {kOtherMachine, kFaultyMachine, 2}) {
    deployment_.servers.push_back(std::make_unique<AppServer>(
        deployment_.loop, deployment_.serverHost(machine), deployment_.ports,
        machine == kFaultyMachine ? "two" : "one", "i-" + std::to_string(machine)));
    AppServer& server = *deployment_.servers.back();
    if (machine == kFaultyMachine) {
      server.slots = kFaultySlots;
      server.startReports();
    } else {
      server.start();
    }
  }
  ASSERT_EQ(deployment_.put("0", document()), 200);
  ASSERT_TRUE(deployment_.runUntil(
      [this] { return allServe("/one/x") && allServe(std::string("/two") + kSoundTarget); }));
}

void FaultyServerTest::TearDown() {
  faulty_.reset();
  ForwardingTest::TearDown();
}

bool FaultyServerTest::reachedServer(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reached_.count(id) != 0;
}

Answer FaultyServerTest::sendTo(int machine, const std::string& target, const std::string& id,
                                std::size_t body_bytes, int deadline_ms) {
  Request wanted = request(target, id);
  wanted.headers["Deadline-Ms"] = std::to_string(deadline_ms);
  if (body_bytes > 0) {
    wanted.method = "POST";
    wanted.body = std::string(body_bytes, 'u');
  }
  return deployment_.send(machine, wanted);
}

}  // namespace ramppond::fake_platform
