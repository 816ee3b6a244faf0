// What every operator's command has at hand: its options, the control group, where to print.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "common/command_line.h"
#include "core/errors.h"
#include "net/control_protocol.h"

namespace ramppond {

/// What one command has at hand.
struct CommandContext {
  const CommandLine& command_line;
  ControlClient& client;
  std::ostream& output;
  std::ostream& errors;
  [[nodiscard]] bool json() const { return command_line.has("json"); }
  [[nodiscard]] const std::vector<std::string>& operands() const { return command_line.operands(); }
  [[nodiscard]] std::string operand(std::size_t index) const {
    return index < operands().size() ? operands()[index] : "";
  }
};

/// Each prints why the command ends and gives its exit code.
ExitCode usageError(CommandContext& context, const std::string& reason);
ExitCode unavailable(CommandContext& context);
ExitCode refused(CommandContext& context, ErrorKind kind, const std::string& reason);

/// Sends a request that has nothing but its type; nothing if no leader was reached.
std::optional<ControlReply> askFor(CommandContext& context, ControlRequestType type);
/// Sends a command under one request id, so that a resend after a lost answer changes nothing
/// twice.
std::optional<ControlReply> sendCommand(CommandContext& context, Command command);

}  // namespace ramppond
