// ramppond-backend: a stand-in back end for the test rig.
#include "common/process.h"
#include "common/program.h"
#include "lab/backend_process.h"

namespace ramppond {
namespace {

ExitCode run(const CommandLine& /*command_line*/, const BackendSettings& settings) {
  std::string error;
  const auto deployment = readDeployment(settings.deployment_path, error);
  if (!deployment) {
    return reportSettingsError(error);
  }
  BackendProcess backend(settings, *deployment);
  if (const auto reason = backend.start()) {
    return reportFailure("ramppond-backend: ", *reason);
  }
  waitForStopSignal();
  backend.drainAndStop();
  return ExitCode::kSuccess;
}

}  // namespace
}  // namespace ramppond

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
  return runProgram<BackendSettings>(spec, argc, argv, readBackendSettings, run);
}
