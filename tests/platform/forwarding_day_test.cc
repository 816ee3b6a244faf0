// Short days of the whole forwarding path with real processes against the platform's stand-in.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "tests/platform/stand_in.h"

namespace ramppond::stand_in {
namespace {

using namespace std::string_literals;

class ForwardingDay : public testing::Test {
 protected:
  void SetUp() override {
    day_.startControl();
    day_.startProxies();
    day_.startServers();
    ASSERT_EQ(day_.put("0", configurationDocument("00000002", "/first/")), 200);
    ASSERT_TRUE(day_.runUntil([this] { return allServe("/one/x") && allServe("/two/x"); }));
  }
  // What the programs wrote, and which still run: a failure that shows once must be traceable.
  void TearDown() override {
    if (!HasFailure()) {
      return;
    }
    for (const auto* programs : {&day_.control, &day_.proxies}) {
      for (const auto& program : *programs) {
        std::cout << (program->running() ? "runs " : "ended ") << program->exitStatus() << "\n";
      }
    }
    std::cout << std::ifstream(day_.folder + "/log").rdbuf() << std::endl;
    for (const auto& server : day_.servers) {
      std::cout << "acknowledged heartbeats: " << server->beats_acknowledged << "\n";
    }
  }
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
      if (day_.send(machine, request(target, "probe-" + std::to_string(next_++))).status != 200) {
        return false;
      }
    }
    return true;
  }
  int runsOf(const std::string& id) {
    int runs = 0;
    for (const auto& server : day_.servers) {
      const auto found = server->runs.find(id);
      runs += found == server->runs.end() ? 0 : found->second;
    }
    return runs;
  }

  std::map<std::string, Answer> sendMany(std::size_t count, std::size_t at_once);

  Deployment day_;
  std::uint64_t next_ = 1;
};

/// Every third request goes to the route whose requests may not be repeated.
bool isUnsafe(std::size_t number) {
  return number % 3 == 0;
}

// Sends `count` requests, at most `at_once` at a time; gives each answer by its request's id.
std::map<std::string, Answer> ForwardingDay::sendMany(std::size_t count, std::size_t at_once) {
  std::map<std::string, Answer> answers;
  for (std::size_t number = 0; number < count; ++number) {
    const std::string id = "own-" + std::to_string(number);
    Request wanted = request(isUnsafe(number) ? "/two/a?n=1" : "/one/a", id);
    wanted.headers["Caller-Service"] = "forged";
    wanted.headers["Expect-Instance"] = "forged";
    wanted.headers["Ramppond-Instance"] = "forged";
    if (isUnsafe(number)) {
      wanted.method = "POST";
      wanted.body = "body of " + id;
    }
    EXPECT_TRUE(day_.runUntil([&] { return number - answers.size() < at_once; }));
    day_.sendLater(static_cast<int>(number % Deployment::kServerMachines), wanted,
                   [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(day_.runUntil([&] { return answers.size() == count; }));
  return answers;
}

// Whether the answer is the server's own, whole, and to this request.
bool isOwnAnswer(std::size_t number, const Answer& answer) {
  const std::string id = "own-" + std::to_string(number);
  const std::string expected = isUnsafe(number) ? "two POST /two/a?n=1 " + id + " body of " + id
                                                : "one GET /one/a " + id + " ";
  return answer.complete && answer.status == 200 && answer.body == expected &&
         answer.request_id == id;
}

TEST_F(ForwardingDay, EveryAnswerIsWholeAndToItsOwnRequest) {
  constexpr std::size_t kRequests = 200;
  constexpr std::size_t kAtOnce = 5;  // Fewer than the slots of any one server.
  const auto answers = sendMany(kRequests, kAtOnce);
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "own-" + std::to_string(number);
    EXPECT_TRUE(isOwnAnswer(number, answers.at(id))) << answers.at(id).status;
    EXPECT_EQ(runsOf(id), 1);
  }
  for (const auto& server : day_.servers) {
    if (!server->runs.empty()) {
      EXPECT_TRUE(server->caller_service == "one" || server->caller_service == "two");
      EXPECT_EQ(server->expected_instance.substr(0, 2), "i-");
    }
  }
}

// More than the servers can hold: some are refused, and whoever is refused did not run.
TEST_F(ForwardingDay, WhoeverIsRefusedUnderOverloadDidNotRun) {
  for (const auto& server : day_.servers) {
    server->work = milliseconds(50);
  }
  constexpr std::size_t kRequests = 600;
  const auto answers = sendMany(kRequests, kRequests);
  std::size_t refused = 0;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "own-" + std::to_string(number);
    const Answer& answer = answers.at(id);
    if (isOwnAnswer(number, answer)) {
      EXPECT_EQ(runsOf(id), 1);
      continue;
    }
    refused += 1;
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.retry_after.empty());
    EXPECT_EQ(runsOf(id), 0);
  }
  EXPECT_GT(refused, 0U);
  EXPECT_LT(refused, kRequests);
}

TEST_F(ForwardingDay, LargeAnswersPassInFlatMemory) {
  std::vector<std::size_t> before;
  for (const auto& program : day_.proxies) {
    before.push_back(program->peakMemoryKib());
    EXPECT_GT(before.back(), 0U);
  }
  const Answer answer = day_.send(0, request("/one/large", "large"));
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.body.size(), kLargeAnswerBytes);
  constexpr std::size_t kMostGrowthKib = kLargeAnswerBytes / 1024 / 4;
  for (std::size_t machine = 0; machine < before.size(); ++machine) {
    EXPECT_LT(day_.proxies[machine]->peakMemoryKib() - before[machine], kMostGrowthKib);
  }
}

TEST_F(ForwardingDay, AChangeIsInForceEverywhereAndReadBackAsItWasPut) {
  EXPECT_EQ(day_.send(0, request("/second/x", "before")).status, 404);
  const std::string next = configurationDocument("00000005", "/second/");
  EXPECT_EQ(day_.put("00000002", next), 200);
  EXPECT_EQ(day_.put("00000002", next), 200);  // Sent again unchanged.
  EXPECT_EQ(day_.put("00000002", configurationDocument("00000005", "/other/")), 412);
  EXPECT_EQ(day_.put("00000005", configurationDocument("00000004", "/other/")), 400);
  EXPECT_TRUE(day_.runUntil([this] { return allServe("/second/x"); }));
  EXPECT_EQ(day_.read(), next);
  EXPECT_EQ(day_.send(1, request("/first/x", "after")).status, 404);
}

TEST_F(ForwardingDay, ALostControlMemberAndARestartOfAllLoseNothing) {
  day_.control[0]->signal(SIGKILL);
  const std::string next = configurationDocument("00000005", "/second/");
  EXPECT_EQ(day_.put("00000002", next), 200);
  day_.control.clear();
  day_.startControl();
  ASSERT_TRUE(day_.runUntil([&] { return day_.read() == next; }));
  EXPECT_TRUE(day_.runUntil([this] { return allServe("/second/x"); }));
}

// Whichever member it is, the leader too: the others go on, and it takes part again afterwards.
TEST_F(ForwardingDay, AMemberWhoseDiskIsFullLivesOnAndComesBack) {
  for (std::size_t full = 0; full < Deployment::kControlMachines; ++full) {
    const std::string base = "0000000" + std::to_string(2 + full);
    const std::string next = configurationDocument("0000000" + std::to_string(3 + full), "/n/");
    day_.control[full]->fillDisk();
    EXPECT_EQ(day_.put(base, next), 200);
    EXPECT_TRUE(day_.runUntil([this] { return allServe("/n/x"); }));
    EXPECT_TRUE(day_.control[full]->running());
    day_.control[full]->emptyDisk();
  }
  day_.control[0]->signal(SIGKILL);  // The other two are needed now.
  const std::string last = configurationDocument("00000009", "/last/");
  EXPECT_EQ(day_.put("00000005", last), 200);
  EXPECT_TRUE(day_.runUntil([this] { return allServe("/last/x"); }));
}

// With no disk to write to, nothing is acknowledged; what was acknowledged before is kept.
TEST_F(ForwardingDay, WhileAllDisksAreFullNothingIsAcknowledgedAndNothingLost) {
  for (const auto& member : day_.control) {
    member->fillDisk();
  }
  const std::string next = configurationDocument("00000005", "/second/");
  for (int machine = 0; machine < Deployment::kControlMachines; ++machine) {
    const int status = day_.putTo(machine, "00000002", next);
    EXPECT_TRUE(status == 503 || status == 0) << status;
  }
  EXPECT_TRUE(allServe("/first/x"));
  for (const auto& member : day_.control) {
    EXPECT_TRUE(member->running());
    member->emptyDisk();
  }
  EXPECT_EQ(day_.put("00000002", next), 200);
  EXPECT_TRUE(day_.runUntil([&] { return day_.read() == next; }));
}

TEST_F(ForwardingDay, StoppingDaemonsOneAfterTheOtherCutsNoRequest) {
  for (const auto& server : day_.servers) {
    server->work = milliseconds(80);
  }
  for (int stopped = 0; stopped < 2; ++stopped) {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t complete = 0;
    const auto sendSome = [&](int machine) {
      sent += 1;
      const std::string id = "stop-" + std::to_string(stopped) + "-" + std::to_string(sent);
      day_.sendLater(machine, request("/one/s", id), [&](const Answer& answer) {
        answered += 1;
        complete += answer.complete ? 1 : 0;
      });
    };
    sendSome(stopped);
    sendSome(stopped);
    day_.runFor(milliseconds(20));
    day_.proxies[static_cast<std::size_t>(stopped)]->signal(SIGTERM);
    EXPECT_TRUE(day_.runUntil([&] { return day_.readiness(stopped) == 503; }));
    sendSome(stopped);  // Still served, or refused as not run.
    sendSome((stopped + 1) % Deployment::kServerMachines);
    EXPECT_TRUE(day_.runUntil([&] { return answered == sent; }));
    EXPECT_EQ(complete, sent);
    auto& program = *day_.proxies[static_cast<std::size_t>(stopped)];
    EXPECT_TRUE(day_.runUntil([&] { return !program.running(); }));
    EXPECT_EQ(program.exitStatus(), 0);
    day_.startProxy(stopped);
    EXPECT_TRUE(day_.runUntil([&] { return day_.readiness(stopped) == 200; }));
  }
}

// A request that begins and ends between two looks at what is under way was once cut: its answer
// was with the connection and had not left. Here the daemon stands still from the moment at which
// the server has the request until the answer and its own timers wait for it together.
TEST_F(ForwardingDay, AStoppingDaemonDeliversAnAnswerThatItGetsWhenItMayEnd) {
  constexpr int kStopped = 0;
  const auto& program = day_.proxies[kStopped];
  for (const auto& server : day_.servers) {
    server->work = milliseconds(400);
  }
  program->signal(SIGTERM);
  day_.runFor(milliseconds(1900));
  bool last_done = false;
  day_.sendLater(kStopped, request("/one/busy", "busy"), [&](const Answer&) { last_done = true; });
  ASSERT_TRUE(day_.runUntil([&] { return last_done; }));
  for (const auto& server : day_.servers) {
    server->work = milliseconds(10);
  }
  day_.runFor(milliseconds(150));
  Answer answer;
  bool done = false;
  day_.sendLater(kStopped, request("/one/race", "race"), [&](const Answer& told) {
    answer = told;
    done = true;
  });
  day_.runFor(milliseconds(8));
  program->signal(SIGSTOP);
  day_.runFor(milliseconds(300));
  program->signal(SIGCONT);
  ASSERT_TRUE(day_.runUntil([&] { return done; }));
  EXPECT_TRUE(answer.complete || runsOf("race") == 0);
  EXPECT_TRUE(day_.runUntil([&] { return !program->running(); }));
  EXPECT_EQ(program->exitStatus(), 0);
}

// Whoever sends around the end of a stopping daemon gets a whole answer, or its request was never
// handed on.
TEST_F(ForwardingDay, RequestsAtAnyMomentAroundAStopAreAnsweredOrNeverRead) {
  constexpr int kStopped = 0;
  const auto& program = day_.proxies[kStopped];
  for (const auto& server : day_.servers) {
    server->work = milliseconds(30);
  }
  program->signal(SIGTERM);
  std::map<std::string, Answer> answers;
  std::size_t sent = 0;
  while (program->running() && sent < 2000) {
    const std::string id = "offset-" + std::to_string(sent);
    Request wanted = request("/two/o", id);
    wanted.method = "POST";
    wanted.body = "x";
    day_.sendLater(kStopped, wanted,
                   [&answers, id](const Answer& answer) { answers[id] = answer; });
    sent += 1;
    // Pauses of all lengths: shorter and longer than anything that the daemon waits for.
    day_.runFor(milliseconds(3 + (sent * 37) % 190));
  }
  EXPECT_EQ(program->exitStatus(), 0);
  ASSERT_TRUE(day_.runUntil([&] { return answers.size() == sent; }));
  for (const auto& [id, answer] : answers) {
    const bool not_run = !answer.complete || answer.status == 503;
    EXPECT_EQ(runsOf(id), not_run ? 0 : 1) << id << " status " << answer.status;
  }
}

// A process that stands still keeps its connections; only its silence tells.
TEST_F(ForwardingDay, AFrozenDaemonIsLeftAndItsRequestsGoElsewhere) {
  constexpr int kClients = 1;
  constexpr std::size_t kFrozen = 2;
  constexpr std::size_t kRequests = 4;
  for (int earned = 0; earned < 60; ++earned) {  // Repeats are paid for by first sends.
    ASSERT_EQ(day_.send(kClients, request("/one/e", "earn-" + std::to_string(earned))).status, 200);
  }
  day_.proxies[kFrozen]->signal(SIGSTOP);
  std::map<std::string, Answer> answers;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "frozen-" + std::to_string(number);
    day_.sendLater(kClients, request("/one/f", id),
                   [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(day_.runUntil([&] { return answers.size() == kRequests; }));
  day_.proxies[kFrozen]->signal(SIGCONT);
  // The heartbeats that waited there are answered before the day ends.
  EXPECT_EQ(day_.send(static_cast<int>(kFrozen), request("/one/a", "awake")).status, 200);
  day_.runFor(milliseconds(300));
  for (const auto& [id, answer] : answers) {
    EXPECT_EQ(answer.status, 200) << id;
  }
}

// What may not be repeated is complete at a daemon only once there is room for it: a daemon that
// stands still cannot have run it.
TEST_F(ForwardingDay, WhatMayNotBeRepeatedIsNotLostWithAFrozenDaemon) {
  constexpr int kClients = 0;
  constexpr std::size_t kFrozen = 1;
  constexpr std::size_t kRequests = 8;
  day_.proxies[kFrozen]->signal(SIGSTOP);
  std::map<std::string, Answer> answers;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "once-" + std::to_string(number);
    Request wanted = request("/two/f", id);
    wanted.method = "POST";
    wanted.body = number % 2 == 0 ? "" : "body of " + id;
    day_.sendLater(kClients, wanted,
                   [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(day_.runUntil([&] { return answers.size() == kRequests; }));
  day_.proxies[kFrozen]->signal(SIGCONT);
  EXPECT_EQ(day_.send(static_cast<int>(kFrozen), request("/one/a", "awake")).status, 200);
  day_.runFor(milliseconds(500));
  for (const auto& [id, answer] : answers) {
    EXPECT_EQ(answer.status, 200) << id;
    EXPECT_EQ(runsOf(id), 1) << id;
  }
}

TEST_F(ForwardingDay, ALeavingServerGetsNothingNew) {
  day_.servers[0]->beat("draining");
  day_.runFor(milliseconds(1500));
  const std::size_t before = day_.servers[0]->runs.size();
  for (int number = 0; number < 20; ++number) {
    const Answer answer = day_.send(number % Deployment::kServerMachines,
                                    request("/one/d", "drain-" + std::to_string(number)));
    EXPECT_EQ(answer.status, 200);
  }
  EXPECT_EQ(day_.servers[0]->runs.size(), before);
}

TEST_F(ForwardingDay, ARequestWaitsShortlyForAServerThatComesBack) {
  day_.servers[1]->beat("draining");
  day_.servers[3]->beat("draining");
  day_.runFor(milliseconds(1500));
  Answer result;
  bool done = false;
  day_.sendLater(0, request("/two/w", "wait"), [&](const Answer& answer) {
    result = answer;
    done = true;
  });
  day_.runFor(milliseconds(20));
  day_.servers[1]->beat("ready");
  EXPECT_TRUE(day_.runUntil([&] { return done; }));
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(runsOf("wait"), 1);
}

TEST_F(ForwardingDay, WithoutAServerTheRequestIsNotRunAndTheClientIsToldWhenToComeBack) {
  for (const std::size_t machine : {std::size_t{1}, std::size_t{3}}) {
    day_.servers[machine]->beat("draining");
  }
  day_.runFor(milliseconds(1500));
  Request wanted = request("/two/n", "none");
  wanted.method = "POST";
  wanted.body = "x";
  const Answer answer = day_.send(0, wanted);
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_EQ(answer.request_id, "none");
  EXPECT_EQ(runsOf("none"), 0);
}

TEST_F(ForwardingDay, BadInputGetsAClearAnswerAndHurtsNobody) {
  const std::string host = "Host: app.example\r\n";
  const std::string unfinished = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"s;
  const std::vector<std::string> wrong_heads = {
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
  for (const std::uint16_t port : {day_.ports.clients, day_.ports.peers, day_.ports.reports}) {
    const std::string answer = day_.sendUnfinished(day_.serverHost(0), port, unfinished);
    EXPECT_TRUE(answer.empty() || answer.substr(0, 10) == "HTTP/1.1 4") << answer;
  }
  for (const std::string& bytes : wrong_heads) {
    for (const std::uint16_t port : {day_.ports.clients, day_.ports.peers, day_.ports.reports}) {
      const std::string answer = day_.sendRaw(day_.serverHost(0), port, bytes);
      EXPECT_TRUE(answer.empty() || answer.substr(0, 10) == "HTTP/1.1 4") << bytes << answer;
    }
  }
  // Peers add fields of their own, so their port takes larger heads than clients may send.
  const std::string large = "GET /one/x HTTP/1.1\r\n" + host + "X: " + std::string(20000, 'x');
  for (const std::uint16_t port : {day_.ports.clients, day_.ports.reports}) {
    const std::string answer = day_.sendRaw(day_.serverHost(0), port, large + "\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 431");
  }
  const std::vector<std::pair<std::string, std::string>> odd = {
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
  for (const auto& [bytes, status] : odd) {
    const std::string answer = day_.sendRaw(day_.serverHost(0), day_.ports.clients, bytes);
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
    const int status = day_.put("00000002", document);
    EXPECT_TRUE(status >= 400 && status < 500) << status << " for " << document;
  }
  EXPECT_EQ(day_.sendRaw(day_.controlHost(0), day_.ports.members, std::string(64, '\xff')), "");
  EXPECT_EQ(day_.sendRaw(day_.controlHost(0), day_.ports.operators, "x\r\n\r\n").substr(0, 12),
            "HTTP/1.1 400");
  const std::string report = "POST /api/instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\n";
  EXPECT_EQ(
      day_.sendRaw(day_.serverHost(0), day_.ports.reports, report + "Content-Length: 2\r\n\r\n{}")
          .substr(0, 12),
      "HTTP/1.1 400");
  EXPECT_TRUE(allServe("/one/x"));
  for (const auto& program : day_.proxies) {
    EXPECT_TRUE(program->running());
  }
  for (const auto& program : day_.control) {
    EXPECT_TRUE(program->running());
  }
}

TEST(ForwardingSettings, WrongFilesAreRefusedWithTheirKey) {
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

TEST(ForwardingSettings, BoundsWithoutTheirNamesAreRefused) {
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

}  // namespace
}  // namespace ramppond::stand_in
