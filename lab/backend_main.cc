// ramppond-backend: a stand-in back end for the test rig.
#include <iostream>

#include "common/process.h"
#include "common/program.h"
#include "lab/backend_process.h"

int main(int argc, char** argv) {
  using namespace ramppond;
  blockStopSignals();
  raiseFileLimit();
  CommandLineSpec spec;
  spec.program = "ramppond-backend";
  spec.synopsis = "--config FILE [options]";
  spec.description =
      "A stand-in back end with slots, service times and internal calls, as its deployment file\n"
      "says. POST /slow on the admin port with a factor makes it slower.";
  spec.options = commonOptions();
  const CommandLine command_line(spec, argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  ExitCode exit_code = ExitCode::kSuccess;
  const auto settings = loadSettings<BackendSettings>(command_line, readBackendSettings, exit_code);
  if (!settings) {
    return exitStatus(exit_code);
  }
  std::string error;
  const auto deployment = readDeployment(settings->deployment_path, error);
  if (!deployment) {
    return exitStatus(reportSettingsError(error));
  }
  BackendProcess backend(*settings, *deployment);
  if (const auto reason = backend.start()) {
    std::cerr << "ramppond-backend: " << *reason << '\n';
    return exitStatus(ExitCode::kFailure);
  }
  waitForStopSignal();
  backend.drainAndStop();
  return exitStatus(ExitCode::kSuccess);
}
