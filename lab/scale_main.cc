// ramppond-scale: the control group against growing fleets of hollow daemons.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "common/process.h"
#include "common/program.h"
#include "lab/scale_run.h"

namespace ramppond {
namespace {

CommandLineSpec commandLineSpec() {
  CommandLineSpec spec;
  spec.program = "ramppond-scale";
  spec.synopsis = "[options]";
  spec.description =
      "For each size: starts a control group and that many hollow daemons, measures processor\n"
      "time, memory, traffic, the time until a confirmed version is in force everywhere, a wave\n"
      "of restarts, the loss of a control member and the rate of claims. Appends rows of CSV.";
  spec.options = {{"daemons", "LIST", "sizes to run (100,300,1000)"},
                  {"control-members", "N", "size of the control group (3)"},
                  {"services", "N", "services of the fleet (1300, at most a seventh of a size)"},
                  {"work-types", "N", "work types in the configuration (100)"},
                  {"phase", "SECONDS", "length of each measured phase (10)"},
                  {"csv", "FILE", "where rows are appended (standard output)"},
                  {"folder", "PATH", "for settings, data and logs; emptied first"}};
  return spec;
}

std::size_t numberOption(const CommandLine& command_line, const std::string& name,
                         std::size_t fallback) {
  return parseUnsigned(command_line.value(name)).value_or(fallback);
}

int run(const CommandLine& command_line) {
  namespace fs = std::filesystem;
  constexpr std::size_t kServersPerService = 7;
  ScaleOptions options;
  options.folder = fs::absolute(command_line.value(
      "folder",
      (fs::temp_directory_path() / ("ramppond-scale-" + std::to_string(getpid()))).string()));
  options.program_folder = fs::read_symlink("/proc/self/exe").parent_path();
  options.control_members = numberOption(command_line, "control-members", 3);
  options.work_types = numberOption(command_line, "work-types", 100);
  options.phase = seconds(static_cast<std::int64_t>(numberOption(command_line, "phase", 10)));
  const std::size_t most_services = numberOption(command_line, "services", 1300);
  std::ofstream file;
  const std::string path = command_line.value("csv");
  const bool new_file = !path.empty() && !fs::exists(path);
  if (!path.empty()) {
    file.open(path, std::ios::app);
  }
  std::ostream& csv = path.empty() ? std::cout : file;
  if (path.empty() || new_file) {
    csv << scaleCsvHeader() << std::endl;
  }
  bool all_ran = true;
  for (const std::string& size : splitList(command_line.value("daemons", "100,300,1000"))) {
    options.daemons = parseUnsigned(size).value_or(0);
    options.services =
        std::max<std::size_t>(1, std::min(most_services, options.daemons / kServersPerService));
    const auto result = options.daemons == 0 ? std::nullopt : runScale(options, std::cerr);
    all_ran = all_ran && result.has_value();
    if (result) {
      csv << scaleCsvRow(*result) << std::endl;
    }
  }
  return exitStatus(all_ran ? ExitCode::kSuccess : ExitCode::kFailure);
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
