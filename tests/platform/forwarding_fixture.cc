#include "tests/platform/forwarding_fixture.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace ramppond::fake_platform {

void ForwardingTest::TearDown() {
  if (!HasFailure()) {
    return;
  }
  for (const auto* programs : {&deployment_.control, &deployment_.proxies}) {
    for (const auto& program : *programs) {
      std::cout << (program->running() ? "runs " : "ended ") << program->exitStatus() << "\n";
    }
  }
  std::cout << std::ifstream(deployment_.folder + "/log").rdbuf() << std::endl;
  for (const auto& server : deployment_.servers) {
    std::cout << "acknowledged heartbeats: " << server->heartbeats_acknowledged << "\n";
  }
}

std::string ForwardingTest::log() const {
  std::stringstream text;
  text << std::ifstream(deployment_.folder + "/log").rdbuf();
  return text.str();
}

bool ForwardingTest::logContains(const std::string& text) {
  return log().find(text) != std::string::npos;
}

bool isUnsafe(std::size_t number) {
  return number % 3 == 0;
}

std::map<std::string, Answer> ForwardingTest::sendMany(std::size_t count,
                                                       std::size_t max_in_flight) {
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
    EXPECT_TRUE(deployment_.runUntil([&] { return number - answers.size() < max_in_flight; }));
    deployment_.sendLater(static_cast<int>(number % Deployment::kServerMachines), wanted,
                          [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(deployment_.runUntil([&] { return answers.size() == count; }));
  return answers;
}

bool isCorrectAnswer(std::size_t number, const Answer& answer) {
  const std::string id = "own-" + std::to_string(number);
  const std::string expected = isUnsafe(number) ? "two POST /two/a?n=1 " + id + " body of " + id
                                                : "one GET /one/a " + id + " ";
  return answer.complete && answer.status == 200 && answer.body == expected &&
         answer.request_id == id;
}

}  // namespace ramppond::fake_platform
