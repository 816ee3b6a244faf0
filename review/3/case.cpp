// Case 3: a server says that it leaves, and the proxy beside it is killed and started again. A
// heartbeat that the server had sent before it left comes late, to the new process. Whether
// requests reach the server after that is what is judged.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "../common/stand_ins.hpp"

namespace {

using namespace review;

constexpr std::size_t kFront = 0;    // Its clients send the requests.
constexpr std::size_t kLeaving = 1;  // The machine of the server that leaves.
constexpr int kClients = 16;
constexpr int kDeadlineMs = 5000;
constexpr double kWork = 0.16;
constexpr double kDrainTimeout = 2;
constexpr double kContact = 3;
constexpr double kKillAfterLeave = 0.2;
constexpr double kDownSeconds = 0.5;
constexpr double kHeartbeatLate = 3;  // How late the heartbeat comes, counted from its sending.
constexpr double kServesOn = 9;       // From the acknowledgement of its leave to its end.

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const char* const trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  Record record(argv[2]);
  Deployment deployment(argv[1], {"desk", "lodgement", "lodgement"});
  std::mutex mutex;
  std::vector<std::pair<double, std::string>> reached;  // The server that leaves, by time.
  std::set<std::string> ended_at_work;
  const Work serve = [&](const Server& server, const Message& request, Reader& reader,
                         Socket& connection) {
    Message whole = request;
    if (reader.body(whole, 5) != ReadEnd::complete) {
      return false;
    }
    const std::string id = request.field("request-id");
    if (server.id() == "i-1") {
      const std::lock_guard<std::mutex> guard(mutex);
      reached.emplace_back(secondsNow(), id);
      ended_at_work.insert(id);
    }
    record.line("server " + server.id() + " runs " + id);
    sleepSeconds(kWork);
    const bool sent = server.answer(request, std::string(1500, 'a'), connection);
    const std::lock_guard<std::mutex> guard(mutex);
    if (sent) {
      ended_at_work.erase(id);
    }
    return sent;
  };
  std::vector<std::unique_ptr<Server>> servers;
  deployment.start();
  for (std::size_t machine = 0; machine < deployment.services.size(); ++machine) {
    servers.push_back(std::make_unique<Server>(deployment.host(machine), deployment.ports,
                                               deployment.services[machine],
                                               "i-" + std::to_string(machine), serve));
    servers.back()->start();
  }
  if (!deployment.put(
          "00000000", "00000001",
          {{"r-desk", "/desk/", "safe", "desk"}, {"r-lodge", "/lodge/", "unsafe", "lodgement"}}) ||
      !deployment.waitUntilServing({"/desk/x", "/lodge/x"}, 15)) {
    record.line("the deployment does not serve");
    return 2;
  }
  sleepSeconds(4);  // Every machine is in touch from here on.
  std::atomic<bool> sending{true};
  std::map<std::string, int> answers;
  std::vector<std::thread> threads;
  for (int number = 0; number < kClients; ++number) {
    threads.emplace_back([&, number] {
      int next = 0;
      while (sending) {
        const std::string id = "l-" + std::to_string(number) + "-" + std::to_string(next++);
        record.line("client: sends " + id);
        const auto answer = ask(deployment.host(kFront), deployment.ports.outbound, "POST",
                                "/lodge/x", id, kDeadlineMs);
        record.line("client: " + id + " answered with " +
                    std::to_string(answer ? answer->status() : 0));
        const std::lock_guard<std::mutex> guard(mutex);
        answers[id] = answer ? answer->status() : 0;
      }
    });
  }
  sleepSeconds(1);
  Server& leaving = *servers[kLeaving];
  leaving.stopHeartbeats();
  const std::uint64_t late_sequence = leaving.nextSequence();
  const double beat_sent = secondsNow();
  record.line("server i-1 sends heartbeat " + std::to_string(late_sequence) +
              " (ready); it is delayed on its way");
  sleepSeconds(0.1);
  if (!leaving.leave()) {
    record.line("the leave was not acknowledged");
    return 2;
  }
  const double left = secondsNow();
  record.line("server i-1: its leave is acknowledged; it serves on for " +
              std::to_string(kServesOn) + " s");
  double started = left - kContact;
  if (trouble) {
    sleepSeconds(kKillAfterLeave);
    record.line("the proxy beside i-1 is killed");
    deployment.proxies[kLeaving]->kill();
    sleepSeconds(kDownSeconds);
    deployment.proxies[kLeaving]->start();
    started = secondsNow();
    record.line("the proxy beside i-1 is started again");
  }
  sleepSeconds(beat_sent + kHeartbeatLate - secondsNow());
  const bool acknowledged = leaving.beat("ready", late_sequence);
  record.line("heartbeat " + std::to_string(late_sequence) +
              " arrives: " + (acknowledged ? "acknowledged" : "not acknowledged"));
  sleepSeconds(left + kServesOn - secondsNow());
  record.line("server i-1 ends");
  std::set<std::string> at_work;
  {
    const std::lock_guard<std::mutex> guard(mutex);
    at_work = ended_at_work;
  }
  leaving.end();
  sleepSeconds(1);
  sending = false;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double in_touch = started + kContact;
  int late = 0;
  int lost = 0;
  for (const auto& [time, id] : reached) {
    if (time > left + kDrainTimeout) {
      const bool counts = time > in_touch + 0.2;
      late += counts ? 1 : 0;
      const bool was_lost = at_work.count(id) > 0;
      lost += counts && was_lost ? 1 : 0;
      char text[200];
      std::snprintf(text, sizeof text,
                    "%s reached i-1 %.3f s after its leave was acknowledged, %.3f s after the "
                    "start of its proxy%s; its client got %d",
                    id.c_str(), time - left, time - started,
                    was_lost ? ", under way at the server's end" : "", answers[id]);
      record.line(text);
    }
  }
  const bool all_run = std::all_of(deployment.proxies.begin(), deployment.proxies.end(),
                                   [](const auto& proxy) { return proxy->running(); });
  deployment.end();
  for (const auto& server : servers) {
    server->end();
  }
  const std::string text =
      "requests sent " + std::to_string(answers.size()) + ", reached the server that left more " +
      "than drain_timeout_s after the acknowledgement and from machines in touch " +
      std::to_string(late) + " (the rule: none), of these under way at its end " +
      std::to_string(lost);
  record.line(text);
  std::cout << text << std::endl;
  if (!all_run || answers.size() < 100) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
