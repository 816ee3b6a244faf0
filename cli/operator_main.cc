// ramppond: the operator's command line.
#include <iostream>

#include "cli/operator_commands.h"
#include "common/command_line.h"
#include "common/process.h"

int main(int argc, char** argv) {
  using namespace ramppond;
  const CommandLine command_line(operatorCommandLine(), argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  return exitStatus(runOperatorCommand(command_line, std::cout, std::cerr));
}
