// ramppond-load: callers for the test rig.
#include <cstdlib>
#include <iostream>

#include "common/process.h"
#include "common/program.h"
#include "lab/load_generator.h"

namespace ramppond {
namespace {

CommandLineSpec commandLineSpec() {
  CommandLineSpec spec;
  spec.program = "ramppond-load";
  spec.synopsis = "--config DEPLOYMENT --target HOST:PORT,... [options]";
  spec.description =
      "Offers front requests in the mix of a deployment file, open loop, latency counted from the\n"
      "intended send time, and prints what callers saw as JSON.";
  spec.options = commonOptions();
  spec.options.push_back({"target", "LIST", "front ports of daemons"});
  spec.options.push_back({"rate", "N", "front requests per second (10)"});
  spec.options.push_back({"duration", "SECONDS", "how long to offer them (10)"});
  spec.options.push_back({"retry", "none|obey|hard", "what callers do when refused (obey)"});
  spec.options.push_back({"retries", "N", "at most so often (3)"});
  spec.options.push_back({"work", "NAME", "this work type alone"});
  spec.options.push_back({"direct", "", "targets are back ends themselves"});
  spec.options.push_back({"history", "FILE", "append what callers saw"});
  spec.options.push_back({"seed", "N", "of the random choices (1)"});
  return spec;
}

std::optional<LoadOptions> loadOptions(const CommandLine& command_line) {
  LoadOptions options;
  options.targets = splitList(command_line.value("target"));
  options.rate = std::atof(command_line.value("rate", "10").c_str());
  const double duration = std::atof(command_line.value("duration", "10").c_str());
  options.duration = Duration(static_cast<std::int64_t>(duration * 1e6));
  const auto retry = parseClientRetry(command_line.value("retry", "obey"));
  options.retry = retry.value_or(ClientRetry::kObey);
  const auto retries = parseUnsigned(command_line.value("retries", "3"));
  const auto seed = parseUnsigned(command_line.value("seed", "1"));
  options.maximum_retries = static_cast<std::uint32_t>(retries.value_or(0));
  options.random_seed = seed.value_or(0);
  options.only_work = command_line.value("work");
  options.direct = command_line.has("direct");
  options.history = command_line.value("history");
  if (options.targets.empty() || options.rate <= 0 || duration <= 0 || !retry || !retries ||
      !seed) {
    std::cerr << "ramppond-load: expected --target HOST:PORT, --rate and --duration above 0, "
                 "--retry none|obey|hard\n";
    return std::nullopt;
  }
  return options;
}

ExitCode run(const CommandLine& command_line, const Deployment& deployment) {
  const auto options = loadOptions(command_line);
  if (!options) {
    return ExitCode::kUsage;
  }
  std::cout << runLoad(deployment, *options).toJson();
  return ExitCode::kSuccess;
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  raiseFileLimit();
  return runProgram<Deployment>(commandLineSpec(), argc, argv, readDeployment, run);
}
