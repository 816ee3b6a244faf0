// Entry point of ramppond-daemon, which proxies the inbound and outbound calls of one back end and
// the requests of external callers.
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
      "Receives calls for its back end (admission, queue, dispatch) and sends the calls that the "
      "back\n"
      "end makes (routing, retries, deadlines). Also accepts requests of external callers. "
      "SIGTERM\n"
      "drains it: requests in flight are completed.";
  spec.options = commonOptions();
  spec.options.push_back({"log-format", "text|json", "overrides log_format of the file"});
  spec.options.push_back({"zone", "NAME", "overrides zone of the file"});
  return runProgram<DaemonSettings>(spec, argc, argv, readDaemonSettings, run);
}
