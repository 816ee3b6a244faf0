// A server answers a long upload early, with an answer that has no length, and crashes in the middle
// of that answer. Its connection is reset, so the answer isn't complete; the client must not get it
// as a complete one.
#include "../common-2/harness.hpp"

namespace {

using namespace review;

constexpr std::size_t kUploads = 5;
constexpr std::size_t kUploadBytes = 24U << 20U;
constexpr std::size_t kHalfAnswerBytes = 20000;
constexpr double kTimeBetweenHalves = 0.6;

std::string half(char letter) {
  return std::string(kHalfAnswerBytes, letter);
}

// Answers before the body is in: the first half at once, the second a moment later. Then reads on
// and ends the connection, as the end of an answer without a length wants.
bool answerUpload(Socket& socket, const Head& request) {
  socket.send("HTTP/1.1 200 OK\r\nRequest-Id: " + request.get("request-id") +
              "\r\nServer-Stamp: stamp\r\nConnection: close\r\n\r\n" + half('a'));
  sleepSeconds(kTimeBetweenHalves);
  socket.send(half('b'));
  ::shutdown(socket.handle(), SHUT_WR);
  std::string rest;
  readBody(socket, request, false, rest, nowSeconds() + 5);
  return false;
}

bool answer(Socket& socket, const Head& request) {
  if (request.method() == "POST") {
    return answerUpload(socket, request);
  }
  return socket.send(serverAnswer(request, 200, "ok")) > 0;
}

// The server of machine 1, as a process of its own.
int runServer(const std::string& host, std::uint16_t port) {
  const int listener = listenOn(host, port);
  for (;;) {
    const int handle = ::accept(listener, nullptr, nullptr);
    std::thread([handle] {
      Socket socket(handle);
      Head request;
      while (readHead(socket, request, nowSeconds() + 60) == ReadEnd::whole &&
             answer(socket, request)) {
      }
    }).detach();
  }
}

Answer upload(const Deployment& deployment, const std::string& id) {
  Answer got;
  Socket socket;
  const double until = nowSeconds() + 6;
  got.connected = socket.connect(Deployment::machineHost(0), deployment.ports.clients);
  socket.setTimeout(6);
  const std::string bytes = Deployment::requestBytes("POST", "/scans/page", id,
                                                     std::string(kUploadBytes, 'u'), "", 6000);
  std::thread sender([&] { socket.send(bytes); });
  Deployment::readAnswer(socket, got, until);
  ::shutdown(socket.handle(), SHUT_RDWR);
  sender.join();
  return got;
}

int runDeployment(const std::string& program, const std::string& folder, const std::string& root) {
  Record record(folder);
  Deployment deployment(root, {"desk", "scans"});
  const std::vector<Route> routes = {{"r-desk", "/desk/", "safe", "desk"},
                                     {"r-scans", "/scans/", "upload", "scans"}};
  deployment.startCoordinators();
  deployment.startProxies();
  AppServer desk(deployment, 0, "i-desk", 142, answer);
  Process scans;
  scans.start({program, "server", Deployment::machineHost(1), std::to_string(deployment.ports.server)},
              deployment.folder + "/scans.log");
  std::atomic<bool> alive{true};
  std::thread beats([&] {
    for (std::uint64_t sequence = 1; alive; ++sequence) {
      static_cast<void>(deployment.beat(1, "i-scans", sequence, 142));
      for (int part = 0; part < 75 && alive; ++part) {
        sleepSeconds(0.02);
      }
    }
  });
  int verdict = 2;
  try {
    if (deployment.put("0", deployment.configuration("00000002", routes)) != 200) {
      giveUp("the configuration was not acknowledged");
    }
    deployment.waitUntilServed(routes);
    record.line(std::string("deployment serves; trouble ") + (trouble() ? "on" : "off"));
    std::vector<Answer> answers(kUploads);
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < kUploads; ++number) {
      clients.emplace_back(
          [&, number] { answers[number] = upload(deployment, "up-" + std::to_string(number)); });
    }
    sleepSeconds(kTimeBetweenHalves / 2);
    if (trouble()) {
      record.line("the server of machine 1 crashes (SIGKILL)");
      alive = false;
      scans.kill();
    }
    for (std::thread& client : clients) {
      client.join();
    }
    const std::string whole = half('a') + half('b');
    verdict = 0;
    std::size_t complete = 0;
    for (std::size_t number = 0; number < kUploads; ++number) {
      const Answer& got = answers[number];
      const bool success = got.end == ReadEnd::whole && got.head.status() / 100 == 2;
      complete += success && got.body == whole ? 1 : 0;
      const bool mixed = success && got.body != whole;
      record.line("up-" + std::to_string(number) + ": status " +
                  std::to_string(got.head.status()) + ", " + nameOf(got.end) + ", body " +
                  std::to_string(got.body.size()) + " of " + std::to_string(whole.size()) +
                  " bytes" + (mixed ? ", BROKEN: an incomplete answer appears complete" : ""));
      verdict = mixed ? 1 : verdict;
    }
    if (!trouble() && complete != kUploads) {
      giveUp("not every upload was answered without the disruption");
    }
  } catch (...) {
    alive = false;
    beats.join();
    throw;
  }
  alive = false;
  beats.join();
  record.line(verdict == 1 ? "MIXED is broken" : "MIXED held");
  return verdict;
}

}  // namespace

int main(int count, char** words) {
  if (count == 4 && std::string(words[1]) == "server") {
    ::signal(SIGPIPE, SIG_IGN);
    return runServer(words[2], static_cast<std::uint16_t>(std::atoi(words[3])));
  }
  if (count != 3) {
    return 2;
  }
  return runCase([&] { return runDeployment(words[0], words[1], words[2]); });
}
