// What clients and operators of the forwarding path see, with real processes: each answer that a
// proxy makes itself, byte for byte, and the form of the log lines.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

#include "tests/compatibility/golden.h"
#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

using namespace std::string_literals;

constexpr char kHead[] = " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: q\r\n";
constexpr char kKey[] = "key-of-the-council-0001";
constexpr int kRatePerSecond = 4;
constexpr int kRequestsBeyondTheLimit = 60;
constexpr std::size_t kTooManyBytes = 200000;

/// On one line, with the figures of Retry-After replaced: they are drawn.
std::string normalized(std::string answer) {
  answer = std::regex_replace(answer, std::regex("Retry-After: [0-9]+\\.[0-9]{3}"),
                              "Retry-After: N.NNN");
  answer = std::regex_replace(answer, std::regex("\r"), "\\r");
  return std::regex_replace(answer, std::regex("\n"), "\\n");
}

class OwnAnswers : public ForwardingTest {
 protected:
  std::string ask(const std::string& bytes) {
    return normalized(
        deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.clients, bytes));
  }
  std::string get(const std::string& target, const std::string& fields = "") {
    return ask("GET " + target + kHead + fields + "\r\n");
  }
  std::string post(const std::string& target, const std::string& fields = "") {
    return ask("POST " + target + kHead + fields + "Content-Length: 4\r\n\r\nbody");
  }
};

TEST_F(OwnAnswers, AreAsRecorded) {
  std::map<std::string, std::string> answers;
  answers["no_route"] = get("/nowhere/");
  answers["body_too_large_by_its_length"] =
      ask("POST /two/x"s + kHead + "Content-Length: " + std::to_string(kTooManyBytes) + "\r\n\r\n");
  answers["deadline_before_it_was_sent"] = get("/one/x", "Deadline-Ms: 0\r\n");
  answers["without_request_id"] = ask("GET /nowhere/ HTTP/1.1\r\nHost: app.example\r\n\r\n");
  for (const auto& server : deployment_.servers) {
    server->crashes_on = "crash";
    server->time_to_restart = seconds(20);
  }
  answers["lost_with_its_server"] = post("/two/crash");
  for (const auto& server : deployment_.servers) {
    server->work = seconds(2);
  }
  answers["deadline_while_it_ran"] = get("/one/x", "Deadline-Ms: 300\r\n");
  compatibility::expectGolden("own_answers.txt", answers);
}

TEST_F(OwnAnswers, OfTenantsAreAsRecorded) {
  ASSERT_EQ(deployment_.put("00000002",
                            tenantDocument("00000003", {{"council", {kKey}, kRatePerSecond}})),
            200);
  const std::string authorized = "Authorization: Bearer "s + kKey + "\r\n";
  ASSERT_TRUE(deployment_.runUntil([&] { return get("/one/x").find("HTTP/1.1 401") == 0; }));
  std::map<std::string, std::string> answers;
  answers["no_key"] = get("/one/x");
  answers["unknown_key"] = get("/one/x", "Authorization: Bearer unknown\r\n");
  std::string last;
  for (int sent = 0; sent < kRequestsBeyondTheLimit && last.find("HTTP/1.1 429") != 0; ++sent) {
    last = get("/one/x", authorized);
  }
  answers["beyond_the_limit"] = last;
  compatibility::expectGolden("own_answers_of_tenants.txt", answers);
}

TEST(OwnAnswersWithoutHelp, AreAsRecorded) {
  Deployment day;
  day.startControl();
  day.startProxies();
  ASSERT_TRUE(day.runUntil([&] { return day.readiness(0) != 0; }));
  std::map<std::string, std::string> answers;
  const std::string request = "GET /one/x"s + kHead + "\r\n";
  const auto ask = [&] {
    return normalized(day.sendRaw(day.serverHost(0), day.ports.clients, request));
  };
  answers["no_configuration"] = ask();
  ASSERT_EQ(day.put("0", configurationDocument("00000002", "/first/")), 200);
  ASSERT_TRUE(day.runUntil([&] { return ask().find("no configuration") == std::string::npos; }));
  answers["no_server"] = ask();
  compatibility::expectGolden("own_answers_without_help.txt", answers);
}

/// "EVENT FIELD FIELD ..." of each kind of line in `log`.
std::set<std::string> formsIn(const std::string& log) {
  std::set<std::string> forms;
  std::istringstream lines(log);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty() || line[0] != '{') {
      continue;
    }
    const auto fields = nlohmann::ordered_json::parse(line, nullptr, false);
    if (fields.is_discarded()) {
      ADD_FAILURE() << "not JSON: " << line;
      continue;
    }
    std::string form = fields.value("event", "");
    for (const auto& [key, value] : fields.items()) {
      form += key == "event" ? "" : " " + key;
    }
    forms.insert(form);
  }
  return forms;
}

TEST_F(OwnAnswers, LogLinesKeepTheirEventsAndFields) {
  get("/nowhere/");
  get("/one/x", "Deadline-Ms: 0\r\n");
  for (const auto& server : deployment_.servers) {
    server->crashes_on = "crash";
  }
  get("/one/crash");
  deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.reports,
                      "POST /api/instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: "
                      "2\r\n\r\n{}");
  for (std::size_t machine = 0; machine < deployment_.proxies.size(); ++machine) {
    std::ofstream(deployment_.folder + "/server-" + std::to_string(machine) + ".toml",
                  std::ios::app)
        << "# changed\n";
    deployment_.proxies[machine]->signal(SIGHUP);
  }
  deployment_.runFor(seconds(6));
  for (auto* programs : {&deployment_.proxies, &deployment_.control}) {
    for (auto& program : *programs) {
      program->signal(SIGTERM);
    }
    for (auto& program : *programs) {
      ASSERT_TRUE(deployment_.runUntil([&] { return !program->running(); }));
    }
  }
  const auto forms = formsIn(compatibility::readFile(deployment_.folder + "/log"));
  if (compatibility::recording()) {
    std::string contents;
    for (const std::string& form : forms) {
      contents += form + "\n";
    }
    compatibility::writeFile(compatibility::goldenPath("log_lines.txt"), contents);
    std::filesystem::copy(deployment_.folder + "/control-0",
                          compatibility::goldenPath("coordinator"),
                          std::filesystem::copy_options::overwrite_existing |
                              std::filesystem::copy_options::recursive);
    return;
  }
  std::istringstream lines(compatibility::readFile(compatibility::goldenPath("log_lines.txt")));
  std::set<std::string> recorded;
  std::string line;
  while (std::getline(lines, line)) {
    recorded.insert(line);
  }
  for (const std::string& form : forms) {
    EXPECT_TRUE(recorded.count(form) == 1) << "not recorded: " << form;
  }
  for (const char* event : {"started", "stopping", "stopped", "closing", "configuration", "server",
                            "control_member", "own_answer", "report_refused", "settings_taken",
                            "counters", "opening", "state", "server_ended", "inbound_refused"}) {
    EXPECT_TRUE(std::any_of(
        forms.begin(), forms.end(),
        [&](const std::string& form) { return form.rfind(std::string(event) + " ", 0) == 0; }))
        << "no line of " << event;
  }
}

}  // namespace
}  // namespace ramppond::fake_platform
