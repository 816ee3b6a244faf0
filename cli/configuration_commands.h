// Commands that plan, show and close changes of the configuration.
#pragma once

#include "cli/command_context.h"

namespace ramppond {

ExitCode planCommand(CommandContext& context);
/// Confirms or rejects the plan that the command names.
ExitCode closePlan(CommandContext& context, CommandType type);
ExitCode configCommand(CommandContext& context);
ExitCode classCommand(CommandContext& context);
/// Plans to drain a server or to restore it.
ExitCode serverCommand(CommandContext& context, ChangeType type);

}  // namespace ramppond
