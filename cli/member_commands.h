// Commands about the control group itself: its state and its members.
#pragma once

#include "cli/command_context.h"

namespace ramppond {

ExitCode statusCommand(CommandContext& context);
ExitCode memberCommand(CommandContext& context);
ExitCode bootstrapCommand(CommandContext& context);

}  // namespace ramppond
