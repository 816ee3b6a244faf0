#include "cli/operator_commands.h"

#include <functional>
#include <map>

#include "cli/configuration_commands.h"
#include "cli/member_commands.h"
#include "common/settings.h"

namespace ramppond {
namespace {

constexpr Duration kAskTimeout = seconds(5);

constexpr char kDescription[] =
    R"(Asks the control group and changes what it holds. Nothing takes effect before it is confirmed.

commands:
  status                          members of the group, leader, silent members
  plan "A outrank B"              plan an intent about two work types
  plan --file FILE                plan classes, work types and intents of a TOML file
  plan show ID | plan list        show plans
  confirm ID | reject ID          put a plan in force, or close it
  class list                      the priority classes in force
  class set NAME --weight N --key KEY ...   plan a class
  class remove NAME               plan to remove one
  config show | config history    what is in force; which plans were confirmed
  drain SERVER | restore SERVER   plan to take a server out of use, or back
  bootstrap                       make the first member of a new group of one
  member list                     members, learners among them
  member add HOST:PORT            add the member that listens there, as a learner first
  member remove NAME              remove a member

exit codes:
  0 done   1 refused   2 bad command line   3 the version changed, plan again   4 no leader reached)";

}  // namespace

CommandLineSpec operatorCommandLine() {
  CommandLineSpec spec;
  spec.program = "ramppond";
  spec.synopsis = "--control HOST:PORT,... COMMAND [options]";
  spec.description = kDescription;
  spec.options = {{"control", "LIST", "control ports of the group's members"},
                  {"json", "", "print JSON"},
                  {"file", "FILE", "plan: settings to plan"},
                  {"weight", "N", "class set: what the class pays for"},
                  {"key", "KEY", "class set: a caller key; may be given again"},
                  {"request-id", "ID", "repeat an earlier command under its id"}};
  return spec;
}

ExitCode runOperatorCommand(const CommandLine& command_line, std::ostream& output,
                            std::ostream& errors) {
  ControlClient client(splitList(command_line.value("control")), kAskTimeout);
  CommandContext context{command_line, client, output, errors};
  if (client.addresses().empty()) {
    return usageError(context, "--control: expected HOST:PORT,...");
  }
  for (const std::string& address : client.addresses()) {
    if (!parseEndpoint(address)) {
      return usageError(context, "--control: expected IPv4:PORT, not " + address);
    }
  }
  using Handler = std::function<ExitCode(CommandContext&)>;
  static const std::map<std::string, Handler> kHandlers = {
      {"status", statusCommand},
      {"plan", planCommand},
      {"confirm", [](CommandContext& c) { return closePlan(c, CommandType::kConfirm); }},
      {"reject", [](CommandContext& c) { return closePlan(c, CommandType::kReject); }},
      {"class", classCommand},
      {"config", configCommand},
      {"drain", [](CommandContext& c) { return serverCommand(c, ChangeType::kDrainServer); }},
      {"restore", [](CommandContext& c) { return serverCommand(c, ChangeType::kRestoreServer); }},
      {"member", memberCommand},
      {"bootstrap", bootstrapCommand}};
  const auto handler = kHandlers.find(context.operand(0));
  if (handler == kHandlers.end()) {
    return usageError(context, context.operand(0).empty()
                                   ? "expected a command"
                                   : "unknown command '" + context.operand(0) + "'");
  }
  return handler->second(context);
}

}  // namespace ramppond
