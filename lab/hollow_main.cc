// ramppond-hollow: many daemons' control side in one process.
#include <iostream>

#include "common/process.h"
#include "common/program.h"
#include "lab/hollow_fleet.h"
#include "net/admin_pages.h"

namespace ramppond {
namespace {

CommandLineSpec commandLineSpec() {
  CommandLineSpec spec;
  spec.program = "ramppond-hollow";
  spec.synopsis = "--control LIST --admin HOST:PORT --servers N [options]";
  spec.description =
      "Runs the control sessions of many daemons in one process: configuration, membership, no "
      "calls.\nPOST /versions on the admin port gives when each version came into force, POST\n"
      "/restart with a number in the body restarts so many daemons. Ends by itself after "
      "--seconds.";
  spec.options = {{"control", "LIST", "control members, HOST:PORT,..."},
                  {"admin", "HOST:PORT", "admin port"},
                  {"servers", "N", "servers in the whole fleet"},
                  {"services", "N", "services of the whole fleet (1300)"},
                  {"zones", "N", "zones (15)"},
                  {"first", "N", "first server that runs here (0)"},
                  {"count", "N", "servers that run here (all)"},
                  {"interests", "N", "services that each daemon calls (5)"},
                  {"seconds", "N", "end by itself after this time (600)"},
                  {"seed", "N", "of the random choices (1)"}};
  return spec;
}

std::uint64_t numberOption(const CommandLine& command_line, const std::string& name,
                           std::uint64_t fallback) {
  return parseUnsigned(command_line.value(name)).value_or(fallback);
}

int run(const CommandLine& command_line) {
  const std::uint64_t servers = numberOption(command_line, "servers", 0);
  const auto admin_address = parseEndpoint(command_line.value("admin"));
  HollowOptions options;
  options.control_addresses = splitList(command_line.value("control"));
  options.first = numberOption(command_line, "first", 0);
  options.count = numberOption(command_line, "count", servers);
  options.interests_per_daemon = numberOption(command_line, "interests", 5);
  options.random_seed = numberOption(command_line, "seed", 1);
  const bool fits = options.count > 0 && options.first + options.count <= servers;
  if (!fits || !admin_address || options.control_addresses.empty()) {
    std::cerr << "ramppond-hollow: expected --control, --admin HOST:PORT and --servers of at least "
                 "--first + --count\n";
    return exitStatus(ExitCode::kUsage);
  }
  options.servers = makeServerList(servers, numberOption(command_line, "services", 1300),
                                   numberOption(command_line, "zones", 15));
  HollowFleet fleet(std::move(options));
  AdminPages admin(*admin_address, "ramppond-hollow", [&fleet] { return fleet.metrics(); });
  admin.onPost("/versions", [&fleet](const std::string&) { return fleet.versionsJson(); });
  admin.onPost("/restart", [&fleet](const std::string& body) {
    fleet.restart(parseUnsigned(body).value_or(0));
    return std::string("restarted\n");
  });
  if (const auto reason = admin.start()) {
    std::cerr << "ramppond-hollow: " << *reason << '\n';
    return exitStatus(ExitCode::kFailure);
  }
  waitForStopSignal(seconds(static_cast<std::int64_t>(numberOption(command_line, "seconds", 600))));
  return exitStatus(ExitCode::kSuccess);
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  raiseFileLimit();
  const CommandLine command_line(commandLineSpec(), argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  return run(command_line);
}
