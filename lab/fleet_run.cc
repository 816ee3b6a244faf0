#include "lab/fleet_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "common/command_line.h"
#include "common/process.h"
#include "lab/configuration_monitor.h"

namespace ramppond {
namespace {

constexpr auto kPollPause = std::chrono::milliseconds(100);
constexpr Duration kProgressInterval = seconds(1);
constexpr Duration kInForceTimeout = seconds(14);
constexpr Duration kDrainGrace = seconds(3);
constexpr Duration kFaultLength = seconds(2);

class FleetRun {
 public:
  FleetRun(Fleet& fleet, const FleetRunOptions& options, std::ostream& progress)
      : fleet_(fleet), options_(options), progress_(progress) {}

  FleetRunResult run();

 private:
  using Fault = std::function<std::string(FleetRun&)>;
  static const std::map<std::string, Fault>& faults();

  std::unique_ptr<ChildProcess> startLoad();
  void readLoad();
  void showProgress(double seconds_done);
  void operate();
  bool planAndConfirm(const std::vector<std::string>& plan, std::string& version);
  void applyFault(const std::string& name);
  bool inForceEverywhere(double index);
  void check();
  [[nodiscard]] bool hasFault(const std::string& name) const {
    return std::find(options_.faults.begin(), options_.faults.end(), name) != options_.faults.end();
  }
  /// A server in the middle of call chains: the second one of the service called most.
  [[nodiscard]] std::string victim() const;
  std::size_t follower();

  std::string faultKill();
  std::string faultFreeze();
  std::string faultRestart();
  std::string faultDrain();
  std::string faultWipe();
  std::string faultSilence();
  std::string faultSlow();

  Fleet& fleet_;
  FleetRunOptions options_;
  std::ostream& progress_;
  FleetRunResult result_;
  double confirmed_index_ = 0;  ///< Of the last version that the operator confirmed.
};

std::unique_ptr<ChildProcess> FleetRun::startLoad() {
  static const std::map<ClientRetry, std::string> kRetryNames = {
      {ClientRetry::kNone, "none"}, {ClientRetry::kObey, "obey"}, {ClientRetry::kHard, "hard"}};
  const double duration = static_cast<double>(options_.duration.count()) / 1e6;
  return std::make_unique<ChildProcess>(
      std::vector<std::string>{
          fleet_.program("ramppond-load"), "--config", fleet_.folder() + "/deployment.toml",
          "--target", joinList(fleet_.frontAddresses()), "--rate", std::to_string(options_.rate),
          "--duration", std::to_string(duration), "--retry", kRetryNames.at(options_.retry),
          "--history", fleet_.callerHistoryPath(), "--seed", std::to_string(options_.random_seed)},
      fleet_.folder() + "/load.json");
}

void FleetRun::readLoad() {
  std::ifstream file(fleet_.folder() + "/load.json");
  const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
  if (!document.is_object()) {
    result_.notes.emplace_back("the load did not report");
    return;
  }
  for (const nlohmann::json& item : document["rows"]) {
    LoadRow row;
    row.work = item["work"];
    row.kind = item["kind"];
    row.offered = item["offered"];
    row.completed = item["completed"];
    row.refused = item["refused"];
    row.failed = item["failed"];
    row.attempts = item["attempts"];
    row.wrong_answers = item["wrong_answers"];
    const double p50_ms = item["p50_ms"];
    const double p99_ms = item["p99_ms"];
    row.latencies_us = {static_cast<std::int64_t>(p50_ms * 1000),
                        static_cast<std::int64_t>(p99_ms * 1000)};
    result_.rows.push_back(std::move(row));
  }
}

void FleetRun::showProgress(double seconds_done) {
  if (options_.quiet) {
    return;
  }
  progress_ << std::fixed << std::setprecision(0) << "  " << std::setw(3) << seconds_done
            << " s  front requests " << fleet_.daemonTotal("front_requests_total")
            << "  dispatched " << fleet_.daemonTotal("inbound_dispatched_total") << "  shed "
            << fleet_.daemonTotal("front_shed_total") +
                   fleet_.daemonTotal("inbound_refused_overload_total")
            << "  retries " << fleet_.daemonTotal("outbound_retries_total") << std::endl;
}

FleetRunResult FleetRun::run() {
  ConfigurationMonitor monitor(fleet_);
  const auto load = startLoad();
  const TimePoint start = monotonicNow();
  TimePoint next_progress = start + kProgressInterval;
  // The operator acts after a third; faults share what is left, in turn.
  const TimePoint operator_due = start + options_.duration / 3;
  const Duration fault_step =
      (options_.duration / 2) / static_cast<std::int64_t>(options_.faults.size() + 1);
  TimePoint fault_due = operator_due + fault_step / 2;
  std::size_t next_fault = 0;
  bool operated = false;
  while (load->running()) {
    const TimePoint now = monotonicNow();
    if (!operated && now >= operator_due) {
      operated = true;
      operate();
    }
    if (next_fault < options_.faults.size() && now >= fault_due) {
      applyFault(options_.faults[next_fault++]);
      fault_due = monotonicNow() + fault_step;
    }
    if (now >= next_progress) {
      showProgress(static_cast<double>((now - start).count()) / 1e6);
      next_progress += kProgressInterval;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  readLoad();
  const double requests = fleet_.daemonTotal("front_requests_total");
  result_.retries_per_request =
      requests > 0 ? fleet_.daemonTotal("outbound_retries_total") / requests : 0;
  // A version confirmed near the end has its time to arrive, as any other.
  Fleet::waitFor([this] { return inForceEverywhere(confirmed_index_); }, kInForceTimeout);
  monitor.stop();
  const auto unclean = fleet_.stop();
  result_.unclean_exits.insert(result_.unclean_exits.end(), unclean.begin(), unclean.end());
  check();
  return result_;
}

bool FleetRun::inForceEverywhere(double index) {
  const auto servers = fleet_.serverNames();
  return std::all_of(servers.begin(), servers.end(), [&](const std::string& server) {
    return fleet_.metric("daemon " + server, "configuration_index").value_or(0) >= index;
  });
}

bool FleetRun::planAndConfirm(const std::vector<std::string>& plan, std::string& version) {
  std::vector<std::string> command = {"--json"};
  command.insert(command.end(), plan.begin(), plan.end());
  std::string output;
  if (fleet_.operatorCommand(command, output) != 0) {
    result_.notes.push_back("plan failed: " + output);
    return false;
  }
  const nlohmann::json planned = nlohmann::json::parse(output, nullptr, false);
  if (!planned.is_object()) {
    return false;
  }
  if (!options_.quiet) {
    progress_ << "  operator plans:";
    for (const std::string& word : plan) {
      progress_ << ' ' << word;
    }
    progress_ << '\n';
    for (const auto& line : planned["changes"]) {
      progress_ << "    " << line.get<std::string>() << '\n';
    }
  }
  const std::string id = std::to_string(planned["id"].get<std::uint64_t>());
  if (fleet_.operatorCommand({"--json", "confirm", id}, output) != 0) {
    result_.notes.push_back("confirm failed: " + output);
    return false;
  }
  const nlohmann::json confirmed = nlohmann::json::parse(output, nullptr, false);
  version = confirmed["version"];
  HistoryEvent event;
  event.time_us = monotonicNow().count();
  event.type = HistoryEventType::kPlanConfirmed;
  event.who = "operator";
  event.detail = planned["base_version"];
  event.number = std::strtoull(version.c_str() + version.find('.') + 1, nullptr, 10);
  confirmed_index_ = static_cast<double>(event.number);
  fleet_.record(event);
  return true;
}

void FleetRun::operate() {
  const auto& works = fleet_.deployment().works;
  // The first two work types of one kind, or else the first and the last.
  std::string intent = works.front().type.name + " outrank " + works.back().type.name;
  for (std::size_t later = 1; later < works.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (works[earlier].type.kind == works[later].type.kind) {
        intent = works[earlier].type.name + " outrank " + works[later].type.name;
      }
    }
  }
  std::string version;
  const TimePoint asked = monotonicNow();
  if (!planAndConfirm({"plan", intent}, version)) {
    return;
  }
  const double index = std::atof(version.c_str() + version.find('.') + 1);
  const bool everywhere = Fleet::waitFor([&] { return inForceEverywhere(index); }, kInForceTimeout);
  const auto took = (monotonicNow() - asked).count() / 1000;
  result_.operator_succeeded = everywhere;
  result_.notes.push_back("operator: \"" + intent + "\" confirmed as version " + version + ", " +
                          (everywhere ? "in force on every daemon " : "NOT in force after ") +
                          std::to_string(took) + " ms after the plan was asked for");
  if (!options_.quiet) {
    progress_ << "  " << result_.notes.back() << std::endl;
  }
}

std::string FleetRun::victim() const {
  return fleet_.deployment().mostCalledService() + "-1";
}

std::size_t FleetRun::follower() {
  const std::size_t leader = fleet_.leader().value_or(0);
  return (leader + 1) % fleet_.controlCount();
}

std::string FleetRun::faultKill() {
  const std::string server = victim();
  fleet_.killServer(server);
  std::this_thread::sleep_for(kFaultLength);
  fleet_.restartServer(server);
  return "killed " + server + " and restarted it";
}

std::string FleetRun::faultFreeze() {
  const std::string server = victim();
  fleet_.signalDaemon(server, SIGSTOP);
  std::this_thread::sleep_for(kFaultLength);
  fleet_.signalDaemon(server, SIGCONT);
  return "froze the daemon of " + server;
}

std::string FleetRun::faultRestart() {
  const std::string server = victim();
  fleet_.tellPlatform({server});
  const bool clean = fleet_.stopServerAsPlanned(server);
  if (!clean) {
    result_.unclean_exits.push_back(server);
  }
  fleet_.record(HistoryEventType::kBackendStopped, server);
  fleet_.restartServer(server);
  fleet_.tellPlatform({});
  return "stopped " + server + " as planned and restarted it";
}

std::string FleetRun::faultDrain() {
  const std::string server = victim();
  std::string version;
  if (!planAndConfirm({"drain", server}, version)) {
    return "drain failed";
  }
  fleet_.record(HistoryEventType::kBackendDraining, server);
  std::this_thread::sleep_for(kDrainGrace + kFaultLength);
  fleet_.record(HistoryEventType::kBackendStopped, server);  // It is asked back.
  if (!planAndConfirm({"restore", server}, version)) {
    return "restore failed";
  }
  return "drained and restored " + server;
}

std::string FleetRun::faultWipe() {
  const std::size_t index = follower();
  fleet_.killControl(index);
  fleet_.restartControl(index, true);
  if (!fleet_.readdControl(index)) {
    result_.unclean_exits.emplace_back("the wiped member could not be added again");
  }
  return "wiped control member " + std::to_string(index + 1) + " and added it anew";
}

// A member that is cut off in silence: frozen, its connections stay open and nothing answers.
std::string FleetRun::faultSilence() {
  const std::size_t leader = fleet_.leader().value_or(0);
  fleet_.signalControl(leader, SIGSTOP);
  const bool noticed = Fleet::waitFor(
      [&] {
        std::string output;
        fleet_.operatorCommand({"status"}, output);
        return output.find("SILENT") != std::string::npos;
      },
      seconds(10));
  std::string version;
  const bool changed =
      planAndConfirm({"plan", fleet_.deployment().works.front().type.name + " outrank " +
                                  fleet_.deployment().works.back().type.name},
                     version);
  fleet_.signalControl(leader, SIGCONT);
  if (!noticed || !changed) {
    result_.unclean_exits.emplace_back("a silent leader was not noticed or stopped changes");
  }
  return "silenced the leading control member; status " +
         std::string(noticed ? "showed" : "did NOT show") + " it within 10 s";
}

std::string FleetRun::faultSlow() {
  const std::string server = victim();
  const std::string service = server.substr(0, server.rfind('-'));
  constexpr double kSlowdown = 5;
  fleet_.setSlowdown(service, kSlowdown);
  std::this_thread::sleep_for(kFaultLength * 2);
  fleet_.setSlowdown(service, 1);
  return "slowed " + service + " to a fifth";
}

const std::map<std::string, FleetRun::Fault>& FleetRun::faults() {
  static const std::map<std::string, Fault> kFaults = {
      {"kill", [](FleetRun& run) { return run.faultKill(); }},
      {"freeze", [](FleetRun& run) { return run.faultFreeze(); }},
      {"restart", [](FleetRun& run) { return run.faultRestart(); }},
      {"drain", [](FleetRun& run) { return run.faultDrain(); }},
      {"wipe", [](FleetRun& run) { return run.faultWipe(); }},
      {"silence", [](FleetRun& run) { return run.faultSilence(); }},
      {"slow", [](FleetRun& run) { return run.faultSlow(); }}};
  return kFaults;
}

void FleetRun::applyFault(const std::string& name) {
  const auto found = faults().find(name);
  if (found == faults().end()) {
    return;
  }
  if (!options_.quiet) {
    progress_ << "  fault " << name << std::endl;
  }
  result_.notes.push_back("fault: " + found->second(*this));
}

void FleetRun::check() {
  const History history = fleet_.history();
  const auto add = [this](const Violations& found) {
    result_.violations.insert(result_.violations.end(), found.begin(), found.end());
  };
  add(checkResponseOwnership(history));
  add(checkNotRunTruth(history));
  add(checkAtMostOnce(history));
  add(checkRetryAllowance(history, fleet_.deployment().retry_allowance));
  add(checkDraining(history, kDrainGrace));
  add(checkOneWinner(history));
  add(checkConfiguration(history, fleet_.serverNames(), kInForceTimeout));
  const bool only_planned = !hasFault("kill") && !hasFault("freeze");
  if (only_planned) {
    add(checkNothingCutOff(history));
  }
}

}  // namespace

std::vector<FleetFault> fleetFaults() {
  return {{"kill", "kill a server's daemon and back end, restart them after 2 s"},
          {"freeze", "stop a daemon for 2 s without closing its connections"},
          {"restart", "planned stop of a server under load, then restart"},
          {"drain", "operator drains a server for 5 s, then restores it"},
          {"wipe", "kill a control member, wipe its disk, add it anew"},
          {"silence", "freeze the leading control member until status shows it"},
          {"slow", "slow the most called service to a fifth for 4 s"}};
}

FleetRunResult runFleet(Fleet& fleet, const FleetRunOptions& options, std::ostream& progress) {
  FleetRun run(fleet, options, progress);
  return run.run();
}

}  // namespace ramppond
