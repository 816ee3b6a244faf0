// ramppond-daemon: stands before one back end and carries its calls and those of callers.
#include "common/logging.h"
#include "common/process.h"
#include "common/program.h"
#include "daemon/daemon_process.h"

namespace ramppond {
namespace {

ExitCode run(const CommandLine& command_line, DaemonSettings& settings) {
  settings.zone = command_line.value("zone", settings.zone);
  if (command_line.has("log-format")) {
    settings.log_format = parseLogFormat(command_line.value("log-format"));
  }
  startLogging(settings.log_format, "ramppond-daemon/" + settings.server);
  DaemonProcess daemon(settings);
  if (const auto error = daemon.start()) {
    return reportFailure("ramppond-daemon: ", *error);
  }
  waitForStopSignal();
  daemon.drainAndStop();
  return ExitCode::kSuccess;
}

}  // namespace
}  // namespace ramppond

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
  return runProgram<DaemonSettings>(spec, argc, argv, readDaemonSettings, run);
}
