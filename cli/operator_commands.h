// The commands of `ramppond`: what they ask the control group and how they show the answer.
#pragma once

#include <iosfwd>

#include "common/command_line.h"

namespace ramppond {

CommandLineSpec operatorCommandLine();

/// Runs the command that the operands name. Errors go to `errors`, everything else to `output`.
ExitCode runOperatorCommand(const CommandLine& command_line, std::ostream& output,
                            std::ostream& errors);

}  // namespace ramppond
