// ramppond-control: a member of the replicated control group.
#include <iostream>

#include "common/logging.h"
#include "common/process.h"
#include "common/program.h"
#include "control/control_process.h"

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  raiseFileLimit();
  CommandLineSpec spec;
  spec.program = "ramppond-control";
  spec.synopsis = "--config FILE [options]";
  spec.description =
      "Keeps classes, plans, configuration versions and at-most-once claims in a replicated log,\n"
      "and gives daemons what is in force. A new group starts with 'ramppond bootstrap'.";
  spec.options = commonOptions();
  spec.options.push_back({"log-format", "text|json", "overrides log_format of the file"});
  spec.options.push_back({"data-folder", "PATH", "overrides data_folder of the file"});
  const CommandLine command_line(spec, argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  ExitCode exit_code = ExitCode::kSuccess;
  auto settings = loadSettings<ControlSettings>(command_line, readControlSettings, exit_code);
  if (!settings) {
    return exitStatus(exit_code);
  }
  settings->data_folder = command_line.value("data-folder", settings->data_folder);
  if (command_line.has("log-format")) {
    settings->log_format =
        command_line.value("log-format") == "json" ? LogFormat::kJson : LogFormat::kText;
  }
  startLogging(settings->log_format, "ramppond-control/" + settings->name);
  ControlProcess control(*settings);
  if (const auto error = control.start()) {
    std::cerr << "ramppond-control: " << *error << '\n';
    return exitStatus(ExitCode::kFailure);
  }
  waitForStopSignal();
  control.stop();
  return exitStatus(ExitCode::kSuccess);
}
