// ramppond-fleet: runs a whole fleet of real processes on this machine.
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "common/process.h"
#include "common/program.h"
#include "lab/fleet_run.h"
#include "lab/latency_run.h"

namespace ramppond {
namespace {

CommandLineSpec commandLineSpec() {
  CommandLineSpec spec;
  spec.program = "ramppond-fleet";
  spec.synopsis = "run|latency DEPLOYMENT [options]";
  spec.description =
      "run: starts a deployment's control members, daemons, back ends and platform as processes, "
      "offers\n"
      "load, lets an operator change the configuration, applies faults, and checks the promises.\n"
      "Exit 0 only if every promise held.\nlatency: measures what two daemons add to a call, at "
      "--rate calls a second to each daemon,\nagainst the same load straight to the back ends at "
      "the same time.\nFaults:";
  for (const FleetFault& fault : fleetFaults()) {
    spec.description +=
        "\n  " + fault.name + std::string(10 - fault.name.size(), ' ') + fault.meaning;
  }
  spec.options = {{"fault", "NAME", "apply a fault; may be given again"},
                  {"rate", "N", "front requests per second (60)"},
                  {"duration", "SECONDS", "of the load (20)"},
                  {"retry", "none|obey|hard", "what callers do when refused (obey)"},
                  {"policy", "NAME", "overload policy of the daemons (ramppond)"},
                  {"platform-lag", "SECONDS", "lag of the platform's list (2)"},
                  {"folder", "PATH", "for settings, logs and histories; emptied first"},
                  {"seed", "N", "of the random choices (1)"},
                  {"quiet", "", "print the closing table only"}};
  return spec;
}

std::optional<FleetRunOptions> runOptions(const CommandLine& command_line) {
  FleetRunOptions options;
  options.rate = std::atof(command_line.value("rate", "60").c_str());
  const double duration = std::atof(command_line.value("duration", "20").c_str());
  options.duration = Duration(static_cast<std::int64_t>(duration * 1e6));
  options.faults = command_line.values("fault");
  options.random_seed = parseUnsigned(command_line.value("seed", "1")).value_or(1);
  options.quiet = command_line.has("quiet");
  const auto retry = parseClientRetry(command_line.value("retry", "obey"));
  options.retry = retry.value_or(ClientRetry::kObey);
  for (const std::string& fault : options.faults) {
    const auto known = fleetFaults();
    const bool found = std::any_of(known.begin(), known.end(),
                                   [&](const FleetFault& item) { return item.name == fault; });
    if (!found) {
      std::cerr << "ramppond-fleet: --fault: unknown fault '" << fault << "'\n";
      return std::nullopt;
    }
  }
  if (options.rate <= 0 || duration <= 0) {
    std::cerr << "ramppond-fleet: expected --rate and --duration above 0\n";
    return std::nullopt;
  }
  return options;
}

int runUnderLoad(Fleet& fleet, const FleetRunOptions& options) {
  std::cout << "the fleet is up; offering " << options.rate << " front requests/s for "
            << options.duration.count() / 1000000 << " s" << std::endl;
  const FleetRunResult result = runFleet(fleet, options, std::cout);
  printFleetResult(result, std::cout);
  return exitStatus(result.kept() ? ExitCode::kSuccess : ExitCode::kFailure);
}

int runLatency(Fleet& fleet, const FleetRunOptions& options) {
  const auto result = measureLatency(fleet, options.rate, options.duration);
  fleet.stop();
  if (!result) {
    std::cerr << "ramppond-fleet: not every call was answered (see " << fleet.folder() << ")\n";
    return exitStatus(ExitCode::kFailure);
  }
  printLatencyResult(*result, options.rate, std::cout);
  return exitStatus(ExitCode::kSuccess);
}

int run(const CommandLine& command_line) {
  const auto options = runOptions(command_line);
  const auto& operands = command_line.operands();
  if (!options || operands.size() != 2 || (operands[0] != "run" && operands[0] != "latency")) {
    std::cerr << "usage: ramppond-fleet run|latency DEPLOYMENT [options]; try --help\n";
    return exitStatus(ExitCode::kUsage);
  }
  std::string error;
  const auto deployment = readDeployment(command_line.operands()[1], error);
  if (!deployment) {
    return exitStatus(reportSettingsError(error));
  }
  namespace fs = std::filesystem;
  FleetOptions fleet_options;
  fleet_options.folder = fs::absolute(command_line.value(
      "folder",
      (fs::temp_directory_path() / ("ramppond-fleet-" + std::to_string(getpid()))).string()));
  fleet_options.program_folder = fs::read_symlink("/proc/self/exe").parent_path();
  fleet_options.policy = command_line.value("policy", "ramppond");
  const double lag = std::atof(command_line.value("platform-lag", "2").c_str());
  fleet_options.platform_lag = Duration(static_cast<std::int64_t>(lag * 1e6));
  fleet_options.random_seed = options->random_seed;
  fleet_options.deployment_path = fleet_options.folder + "/deployment.toml";
  Fleet fleet(fleet_options, *deployment);
  fs::copy_file(command_line.operands()[1], fleet_options.deployment_path);
  std::cout << "starting " << deployment->control_members << " control members and "
            << fleet.serverNames().size() << " servers of " << deployment->name << std::endl;
  if (const auto reason = fleet.start()) {
    std::cerr << "ramppond-fleet: " << *reason << " (see " << fleet_options.folder << ")\n";
    return exitStatus(ExitCode::kFailure);
  }
  return operands[0] == "run" ? runUnderLoad(fleet, *options) : runLatency(fleet, *options);
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  raiseFileLimit();
  const CommandLine command_line(commandLineSpec(), argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  return run(command_line);
}
