#include "cli/command_context.h"

#include <ostream>

#include "common/process.h"

namespace ramppond {

ExitCode usageError(CommandContext& context, const std::string& reason) {
  context.errors << "ramppond: " << reason << "\ntry 'ramppond --help'\n";
  return ExitCode::kUsage;
}

ExitCode unavailable(CommandContext& context) {
  context.errors << "ramppond: no leader reached: " << context.client.lastReason() << '\n';
  return ExitCode::kUnavailable;
}

ExitCode refused(CommandContext& context, ErrorKind kind, const std::string& reason) {
  context.errors << "ramppond: " << errorAnswer(kind).name << ": " << reason << '\n';
  return kind == ErrorKind::kVersionConflict ? ExitCode::kConflict : ExitCode::kFailure;
}

std::optional<ControlReply> askFor(CommandContext& context, ControlRequestType type) {
  ControlRequest request;
  request.type = type;
  return context.client.ask(request);
}

std::optional<ControlReply> sendCommand(CommandContext& context, Command command) {
  command.operator_request_id =
      context.command_line.value("request-id", "op-" + std::to_string(randomNumber()));
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command = std::move(command);
  return context.client.ask(request);
}

}  // namespace ramppond
