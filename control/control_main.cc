// Entry point of ramppond-control, a member of the replicated control group.
#include "common/logging.h"
#include "common/process.h"
#include "common/program.h"
#include "control/control_process.h"

namespace ramppond {
namespace {

ExitCode run(const CommandLine& command_line, ControlSettings& settings) {
  settings.data_folder = command_line.value("data-folder", settings.data_folder);
  if (command_line.has("log-format")) {
    settings.log_format = parseLogFormat(command_line.value("log-format"));
  }
  startLogging(settings.log_format, "ramppond-control/" + settings.name);
  ControlProcess control(settings);
  if (const auto error = control.start()) {
    return reportFailure("ramppond-control: ", *error);
  }
  waitForStopSignal();
  control.stop();
  return ExitCode::kSuccess;
}

}  // namespace
}  // namespace ramppond

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  raiseFileLimit();
  CommandLineSpec spec;
  spec.program = "ramppond-control";
  spec.synopsis = "--config FILE [options]";
  spec.description =
      "Keeps classes, plans, configuration versions and at-most-once claims in a replicated log,\n"
      "and distributes the configuration in force to daemons. A new group starts with 'ramppond "
      "bootstrap'.";
  spec.options = commonOptions();
  spec.options.push_back({"log-format", "text|json", "overrides log_format of the file"});
  spec.options.push_back({"data-folder", "PATH", "overrides data_folder of the file"});
  return runProgram<ControlSettings>(spec, argc, argv, readControlSettings, run);
}
