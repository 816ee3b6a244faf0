// ramppond-sim: deterministic simulated runs of the daemon's and control group's own classes.
#include <iostream>
#include <nlohmann/json.hpp>

#include "common/command_line.h"
#include "common/program.h"
#include "lab/simulation/scenarios.h"

namespace ramppond {
namespace {

CommandLineSpec commandLineSpec() {
  CommandLineSpec spec;
  spec.program = "ramppond-sim";
  spec.synopsis = "list | run [options]";
  spec.description =
      "Runs a deployment in virtual time and checks every promise on the recorded history. The\n"
      "same seed gives the same output to the byte. Exit 0 only if all promises held.";
  spec.options = {{"deployment", "FILE", "deployment file"},
                  {"scenario", "NAME", "one of 'list'; 'all' for every one"},
                  {"seeds", "A-B", "range of seeds (1-1)"},
                  {"policy", "NAME", "overload policy (ramppond)"},
                  {"json", "", "print JSON"}};
  return spec;
}

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

std::optional<SeedRange> parseSeeds(const std::string& text) {
  const auto dash = text.find('-');
  const auto first = parseUnsigned(text.substr(0, dash));
  const auto last = dash == std::string::npos ? first : parseUnsigned(text.substr(dash + 1));
  if (!first || !last || *last < *first) {
    return std::nullopt;
  }
  return SeedRange{*first, *last};
}

void printViolations(const ScenarioResult& result, const std::string& repeat) {
  constexpr std::size_t kMostShown = 5;
  for (std::size_t index = 0; index < std::min(kMostShown, result.violations.size()); ++index) {
    const Violation& violation = result.violations[index];
    std::cout << "  BROKEN " << violation.promise << " at " << violation.time_us << " us "
              << violation.nonce << ": " << violation.reason << '\n';
    for (const std::string& line : describeRequest(result.history, violation.nonce)) {
      std::cout << "    " << line << '\n';
    }
  }
  std::cout << "  repeat: " << repeat << '\n';
}

struct RunRequest {
  std::string deployment_path;
  std::string policy;
  SeedRange seeds;
  bool json = false;
};

// Runs one scenario over all seeds; returns whether every promise held.
bool runOne(const Scenario& scenario, const Deployment& deployment, const RunRequest& request) {
  std::uint64_t front_requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t broken_seeds = 0;
  for (std::uint64_t seed = request.seeds.first; seed <= request.seeds.last; ++seed) {
    const ScenarioResult result = runScenario(scenario, deployment, seed, request.policy);
    front_requests += result.front_requests;
    completed += result.completed;
    const bool broken = result.failure.has_value() || !result.violations.empty();
    broken_seeds += broken ? 1 : 0;
    if (broken && !request.json) {
      std::cout << scenario.name << " seed " << seed << ": "
                << result.failure.value_or(std::to_string(result.violations.size()) +
                                           " broken promises")
                << '\n';
      printViolations(result, "ramppond-sim run --deployment " + request.deployment_path +
                                  " --scenario " + scenario.name + " --seeds " +
                                  std::to_string(seed) + "-" + std::to_string(seed) + " --policy " +
                                  request.policy);
    }
  }
  const std::uint64_t seeds = request.seeds.last - request.seeds.first + 1;
  if (request.json) {
    nlohmann::ordered_json json;
    json["scenario"] = scenario.name;
    json["policy"] = request.policy;
    json["seeds"] = seeds;
    json["broken_seeds"] = broken_seeds;
    json["front_requests"] = front_requests;
    json["completed"] = completed;
    std::cout << json.dump() << '\n';
  } else {
    std::cout << scenario.name << ": " << seeds - broken_seeds << " of " << seeds
              << " seeds kept every promise; " << front_requests << " front requests, " << completed
              << " completed whole\n";
  }
  return broken_seeds == 0;
}

int run(const CommandLine& command_line) {
  std::string error;
  const auto deployment = readDeployment(command_line.value("deployment"), error);
  if (!deployment) {
    return exitStatus(reportSettingsError(error));
  }
  RunRequest request;
  request.deployment_path = command_line.value("deployment");
  request.policy = command_line.value("policy", "ramppond");
  request.json = command_line.has("json");
  const auto seeds = parseSeeds(command_line.value("seeds", "1-1"));
  const std::string name = command_line.value("scenario", "all");
  if (!seeds || !findOverloadPolicy(request.policy) ||
      (name != "all" && findScenario(name) == nullptr)) {
    std::cerr
        << "ramppond-sim: expected --seeds A-B, a known --policy and a --scenario of 'list'\n";
    return exitStatus(ExitCode::kUsage);
  }
  request.seeds = *seeds;
  bool kept = true;
  for (const Scenario& scenario : scenarios()) {
    if (name == "all" || name == scenario.name) {
      kept = runOne(scenario, *deployment, request) && kept;
    }
  }
  return exitStatus(kept ? ExitCode::kSuccess : ExitCode::kFailure);
}

int list() {
  for (const Scenario& scenario : scenarios()) {
    std::cout << scenario.name << std::string(26 - scenario.name.size(), ' ')
              << scenario.description << '\n';
  }
  return exitStatus(ExitCode::kSuccess);
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  const CommandLine command_line(commandLineSpec(), argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  const std::string command =
      command_line.operands().empty() ? "" : command_line.operands().front();
  if (command == "list") {
    return list();
  }
  if (command == "run") {
    return run(command_line);
  }
  std::cerr << "usage: ramppond-sim list | run [options]; try --help\n";
  return exitStatus(ExitCode::kUsage);
}
