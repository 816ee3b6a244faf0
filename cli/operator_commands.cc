#include "cli/operator_commands.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/configuration_file.h"
#include "common/process.h"
#include "net/control_protocol.h"

namespace ramppond {
namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kAskTimeout = seconds(5);
constexpr std::uint64_t kSilentAfterMs = 5000;

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

/// What one command has at hand.
struct Context {
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

ExitCode usageError(Context& context, const std::string& reason) {
  context.errors << "ramppond: " << reason << "\ntry 'ramppond --help'\n";
  return ExitCode::kUsage;
}

ExitCode unavailable(Context& context) {
  context.errors << "ramppond: no leader reached: " << context.client.lastReason() << '\n';
  return ExitCode::kUnavailable;
}

ExitCode refused(Context& context, ErrorKind kind, const std::string& reason) {
  context.errors << "ramppond: " << errorAnswer(kind).name << ": " << reason << '\n';
  return kind == ErrorKind::kVersionConflict ? ExitCode::kConflict : ExitCode::kFailure;
}

std::optional<ControlReply> askFor(Context& context, ControlRequestType type) {
  ControlRequest request;
  request.type = type;
  return context.client.ask(request);
}

// Sends a command under one request id, so that a resend after a lost answer changes nothing twice.
std::optional<ControlReply> sendCommand(Context& context, Command command) {
  command.operator_request_id =
      context.command_line.value("request-id", "op-" + std::to_string(randomNumber()));
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command = std::move(command);
  return context.client.ask(request);
}

Json planJson(const Plan& plan) {
  static const std::map<PlanState, std::string> kStates = {{PlanState::kOpen, "open"},
                                                           {PlanState::kConfirmed, "confirmed"},
                                                           {PlanState::kRejected, "rejected"}};
  Json json;
  json["id"] = plan.id;
  json["state"] = kStates.at(plan.state);
  json["base_version"] = plan.base_version.toString();
  json["changes"] = plan.lines;
  return json;
}

void showPlan(Context& context, const Plan& plan) {
  const Json json = planJson(plan);
  if (context.json()) {
    context.output << json.dump(2) << '\n';
    return;
  }
  context.output << "plan " << plan.id << " (" << json["state"].get<std::string>()
                 << ", against version " << plan.base_version.toString() << ")\n";
  for (const std::string& line : plan.lines) {
    context.output << "  " << line << '\n';
  }
}

ExitCode makePlan(Context& context, std::vector<ConfigurationChange> changes) {
  const auto current = askFor(context, ControlRequestType::kReadConfiguration);
  if (!current) {
    return unavailable(context);
  }
  Command command;
  command.type = CommandType::kPlan;
  command.base_version = current->configuration.version;
  command.changes = std::move(changes);
  const auto reply = sendCommand(context, std::move(command));
  if (!reply) {
    return unavailable(context);
  }
  if (reply->result.error != ErrorKind::kNone) {
    return refused(context, reply->result.error, reply->result.reason);
  }
  Plan plan;
  plan.id = reply->result.plan_id;
  plan.base_version = reply->result.version;
  plan.lines = reply->result.lines;
  showPlan(context, plan);
  if (!context.json()) {
    context.output << "nothing has changed yet; 'ramppond confirm " << plan.id
                   << "' puts it in force\n";
  }
  return ExitCode::kSuccess;
}

ExitCode listPlans(Context& context, const std::function<bool(const Plan&)>& wanted) {
  const auto reply = askFor(context, ControlRequestType::kListPlans);
  if (!reply) {
    return unavailable(context);
  }
  Json all = Json::array();
  for (const Plan& plan : reply->plans) {
    if (!wanted(plan)) {
      continue;
    }
    all.push_back(planJson(plan));
    if (!context.json()) {
      showPlan(context, plan);
    }
  }
  if (context.json()) {
    context.output << all.dump(2) << '\n';
  }
  return ExitCode::kSuccess;
}

ExitCode showOnePlan(Context& context) {
  const auto id = parseUnsigned(context.operand(2));
  if (!id) {
    return usageError(context, "plan show: expected a plan number");
  }
  const auto reply = askFor(context, ControlRequestType::kListPlans);
  if (!reply) {
    return unavailable(context);
  }
  for (const Plan& plan : reply->plans) {
    if (plan.id == *id) {
      showPlan(context, plan);
      return ExitCode::kSuccess;
    }
  }
  return refused(context, ErrorKind::kNotFound, "there is no plan " + context.operand(2));
}

ExitCode planCommand(Context& context) {
  const std::string what = context.operand(1);
  if (what == "show") {
    return showOnePlan(context);
  }
  if (what == "list") {
    return listPlans(context, [](const Plan&) { return true; });
  }
  if (context.command_line.has("file")) {
    std::string error;
    const auto changes = readConfigurationFile(context.command_line.value("file"), error);
    if (!changes) {
      context.errors << error << '\n';
      return ExitCode::kUsage;
    }
    return makePlan(context, *changes);
  }
  const auto intent = parseIntent(what);
  if (!intent || context.operands().size() != 2) {
    return usageError(context,
                      "plan: expected \"WORK outrank WORK\", show ID, list or --file FILE");
  }
  ConfigurationChange change;
  change.type = ChangeType::kAddIntent;
  change.intent = *intent;
  return makePlan(context, {change});
}

ExitCode closePlan(Context& context, CommandType type) {
  const auto id = parseUnsigned(context.operand(1));
  if (!id) {
    return usageError(context, context.operand(0) + ": expected a plan number");
  }
  Command command;
  command.type = type;
  command.plan_id = *id;
  const auto reply = sendCommand(context, std::move(command));
  if (!reply) {
    return unavailable(context);
  }
  if (reply->result.error != ErrorKind::kNone) {
    return refused(context, reply->result.error, reply->result.reason);
  }
  const std::string version = reply->result.version.toString();
  if (context.json()) {
    context.output << Json{{"plan", *id}, {"version", version}}.dump(2) << '\n';
  } else {
    context.output << "plan " << *id
                   << (type == CommandType::kConfirm
                           ? " confirmed; version " + version + " is in force"
                           : " rejected; nothing has changed")
                   << '\n';
  }
  return ExitCode::kSuccess;
}

Json configurationJson(const Configuration& configuration) {
  Json json;
  json["version"] = configuration.version.toString();
  json["retry_allowance"] = configuration.retry_allowance;
  json["classes"] = Json::array();
  for (const PriorityClass& item : configuration.classes) {
    json["classes"].push_back(
        {{"name", item.name}, {"weight", item.weight}, {"keys", item.caller_keys}});
  }
  json["work_types"] = Json::array();
  for (const WorkType& type : configuration.work_types) {
    json["work_types"].push_back({{"name", type.name},
                                  {"service", type.service},
                                  {"path", type.path_prefix},
                                  {"kind", workKindName(type.kind)},
                                  {"rank", type.rank}});
  }
  json["intents"] = Json::array();
  for (const Intent& intent : configuration.intents) {
    json["intents"].push_back(intent.toString());
  }
  json["draining_servers"] = configuration.draining_servers;
  json["shed_order"] = configuration.shedOrder();
  return json;
}

ExitCode showConfiguration(Context& context) {
  const auto reply = askFor(context, ControlRequestType::kReadConfiguration);
  if (!reply) {
    return unavailable(context);
  }
  const Configuration& configuration = reply->configuration;
  if (context.json()) {
    context.output << configurationJson(configuration).dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  context.output << "version " << configuration.version.toString() << '\n';
  for (const std::string& line : describeDifference(Configuration{}, configuration)) {
    if (line.rfind("+ ", 0) == 0) {
      context.output << "  " << line.substr(2) << '\n';
    }
  }
  context.output << "shed first to last:";
  for (const std::string& name : configuration.shedOrder()) {
    context.output << ' ' << name;
  }
  context.output << '\n';
  return ExitCode::kSuccess;
}

ExitCode configCommand(Context& context) {
  if (context.operand(1) == "show") {
    return showConfiguration(context);
  }
  if (context.operand(1) == "history") {
    return listPlans(context, [](const Plan& plan) { return plan.state == PlanState::kConfirmed; });
  }
  return usageError(context, "config: expected show or history");
}

ExitCode listClasses(Context& context) {
  const auto reply = askFor(context, ControlRequestType::kReadConfiguration);
  if (!reply) {
    return unavailable(context);
  }
  if (context.json()) {
    context.output << configurationJson(reply->configuration)["classes"].dump(2) << '\n';
    return ExitCode::kSuccess;
  }
  for (const PriorityClass& item : reply->configuration.classes) {
    context.output << item.name << " weight " << item.weight << " keys " << item.caller_keys.size()
                   << '\n';
  }
  return ExitCode::kSuccess;
}

ExitCode classCommand(Context& context) {
  const std::string action = context.operand(1);
  if (action == "list") {
    return listClasses(context);
  }
  ConfigurationChange change;
  if (context.operand(2).empty()) {
    return usageError(context, "class: expected list, set NAME or remove NAME");
  }
  if (action == "remove") {
    change.type = ChangeType::kRemoveClass;
    change.name = context.operand(2);
    return makePlan(context, {change});
  }
  const auto weight = parseUnsigned(context.command_line.value("weight", "1"));
  if (action != "set" || !weight || *weight < 1 || *weight > kMaximumClassWeight) {
    return usageError(
        context, "class set NAME: expected --weight 1 to " + std::to_string(kMaximumClassWeight));
  }
  change.type = ChangeType::kSetClass;
  change.priority_class.name = context.operand(2);
  change.priority_class.weight = static_cast<std::uint32_t>(*weight);
  change.priority_class.caller_keys = context.command_line.values("key");
  return makePlan(context, {change});
}

ExitCode serverCommand(Context& context, ChangeType type) {
  if (context.operand(1).empty()) {
    return usageError(context, context.operand(0) + ": expected a server name");
  }
  ConfigurationChange change;
  change.type = type;
  change.name = context.operand(1);
  return makePlan(context, {change});
}

Json memberJson(const MemberStatus& status) {
  Json json;
  json["name"] = status.member.name;
  json["address"] = status.member.address;
  json["id"] = status.member.id;
  json["role"] = status.leader ? "leader" : (status.member.voter ? "voter" : "learner");
  json["heard"] = status.heard;
  json["silent_ms"] = status.silent_ms;
  return json;
}

// The status as the leader sees it, or else as any member does.
std::optional<ControlReply> bestStatus(Context& context) {
  ControlRequest request;
  request.type = ControlRequestType::kStatus;
  std::optional<ControlReply> best;
  for (const std::string& address : context.client.addresses()) {
    const auto reply = context.client.askMember(address, request);
    if (!reply) {
      continue;
    }
    if (!reply->leader_address.empty() && reply->leader_address != address) {
      auto from_leader = context.client.askMember(reply->leader_address, request);
      if (from_leader) {
        return from_leader;
      }
    }
    const bool better = !best || (reply->authoritative && !best->authoritative);
    best = better ? reply : best;
  }
  return best;
}

void printStatus(Context& context, const ControlReply& reply) {
  const ControlStatus& status = reply.status;
  context.output << "group " << status.group_id << " term " << status.term << " commit "
                 << status.commit << (reply.authoritative ? "" : "  NO LEADER HEARD") << '\n';
  for (const MemberStatus& member : status.members) {
    const Json json = memberJson(member);
    context.output << "  " << member.member.name << ' ' << member.member.address << ' '
                   << json["role"].get<std::string>();
    const bool silent = !member.heard || member.silent_ms > kSilentAfterMs;
    if (silent && member.member.id != status.self) {
      context.output << "  SILENT"
                     << (member.heard ? " for " + std::to_string(member.silent_ms) + " ms" : "");
    }
    context.output << '\n';
  }
  context.output << "daemons " << status.sessions << "  claims " << status.claims << '\n';
}

ExitCode statusCommand(Context& context) {
  const auto reply = bestStatus(context);
  if (!reply) {
    return unavailable(context);
  }
  if (context.json()) {
    Json json;
    json["group"] = reply->status.group_id;
    json["term"] = reply->status.term;
    json["commit"] = reply->status.commit;
    json["authoritative"] = reply->authoritative;
    json["daemons"] = reply->status.sessions;
    json["claims"] = reply->status.claims;
    json["members"] = Json::array();
    for (const MemberStatus& member : reply->status.members) {
      json["members"].push_back(memberJson(member));
    }
    context.output << json.dump(2) << '\n';
  } else {
    printStatus(context, *reply);
  }
  return reply->authoritative ? ExitCode::kSuccess : ExitCode::kUnavailable;
}

ExitCode finishMemberChange(Context& context, const std::optional<ControlReply>& reply,
                            const std::string& done) {
  if (!reply) {
    return unavailable(context);
  }
  if (reply->error != ErrorKind::kNone) {
    return refused(context, reply->error, reply->reason);
  }
  context.output << done << '\n';
  return ExitCode::kSuccess;
}

ExitCode addMember(Context& context) {
  const std::string address = context.operand(2);
  ControlRequest identity;
  identity.type = ControlRequestType::kIdentity;
  const auto newcomer = context.client.askMember(address, identity);
  if (!newcomer) {
    return unavailable(context);
  }
  ControlRequest request;
  request.type = ControlRequestType::kAddMember;
  request.member.id = newcomer->status.self;
  request.member.name = newcomer->status.name;
  request.member.address = address;
  return finishMemberChange(context, context.client.ask(request),
                            newcomer->status.name +
                                " added as a learner; it votes once it has "
                                "caught up");
}

ExitCode memberCommand(Context& context) {
  const std::string action = context.operand(1);
  if (action == "list") {
    return statusCommand(context);
  }
  if (context.operand(2).empty()) {
    return usageError(context, "member: expected list, add HOST:PORT or remove NAME");
  }
  if (action == "add") {
    return addMember(context);
  }
  if (action != "remove") {
    return usageError(context, "member: expected list, add HOST:PORT or remove NAME");
  }
  ControlRequest request;
  request.type = ControlRequestType::kRemoveMember;
  request.member.name = context.operand(2);
  return finishMemberChange(context, context.client.ask(request), context.operand(2) + " removed");
}

ExitCode bootstrapCommand(Context& context) {
  ControlRequest request;
  request.type = ControlRequestType::kBootstrap;
  const auto reply = context.client.askMember(context.client.addresses().front(), request);
  return finishMemberChange(context, reply,
                            "group started with " + context.client.addresses().front());
}

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
  Context context{command_line, client, output, errors};
  if (client.addresses().empty()) {
    return usageError(context, "--control: expected HOST:PORT,...");
  }
  for (const std::string& address : client.addresses()) {
    if (!parseEndpoint(address)) {
      return usageError(context, "--control: expected IPv4:PORT, not " + address);
    }
  }
  using Handler = std::function<ExitCode(Context&)>;
  static const std::map<std::string, Handler> kHandlers = {
      {"status", statusCommand},
      {"plan", planCommand},
      {"confirm", [](Context& c) { return closePlan(c, CommandType::kConfirm); }},
      {"reject", [](Context& c) { return closePlan(c, CommandType::kReject); }},
      {"class", classCommand},
      {"config", configCommand},
      {"drain", [](Context& c) { return serverCommand(c, ChangeType::kDrainServer); }},
      {"restore", [](Context& c) { return serverCommand(c, ChangeType::kRestoreServer); }},
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
