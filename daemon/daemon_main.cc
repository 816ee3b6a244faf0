// ramppond-daemon: stands before one back end and carries its calls and those of callers.
#include <iostream>

#include "common/logging.h"
#include "common/process.h"
#include "common/program.h"
#include "daemon/daemon_process.h"

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  raiseFileLimit();
  CommandLineSpec spec;
  spec.program = "ramppond-daemon";
  spec.synopsis = "--config FILE [options]";
  spec.description =
      "Takes calls for its own back end (admission, queue, dispatch) and sends the back end's own\n"
      "calls onward (routing, retries, deadlines); also the front door for callers. SIGTERM stops\n"
      "it without cutting off a request.";
  spec.options = commonOptions();
  spec.options.push_back({"log-format", "text|json", "overrides log_format of the file"});
  spec.options.push_back({"zone", "NAME", "overrides zone of the file"});
  const CommandLine command_line(spec, argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  ExitCode exit_code = ExitCode::kSuccess;
  auto settings = loadSettings<DaemonSettings>(command_line, readDaemonSettings, exit_code);
  if (!settings) {
    return exitStatus(exit_code);
  }
  settings->zone = command_line.value("zone", settings->zone);
  if (command_line.has("log-format")) {
    settings->log_format =
        command_line.value("log-format") == "json" ? LogFormat::kJson : LogFormat::kText;
  }
  startLogging(settings->log_format, "ramppond-daemon/" + settings->server);
  DaemonProcess daemon(*settings);
  if (const auto error = daemon.start()) {
    std::cerr << "ramppond-daemon: " << *error << '\n';
    return exitStatus(ExitCode::kFailure);
  }
  waitForStopSignal();
  daemon.drainAndStop();
  return exitStatus(ExitCode::kSuccess);
}
