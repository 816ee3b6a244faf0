#include "cli/configuration_commands.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/configuration_file.h"

namespace ramppond {
namespace {

using Json = nlohmann::ordered_json;

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

void showPlan(CommandContext& context, const Plan& plan) {
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

ExitCode makePlan(CommandContext& context, std::vector<ConfigurationChange> changes) {
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

ExitCode listPlans(CommandContext& context, const std::function<bool(const Plan&)>& wanted) {
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

ExitCode showOnePlan(CommandContext& context) {
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

}  // namespace

ExitCode planCommand(CommandContext& context) {
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

ExitCode closePlan(CommandContext& context, CommandType type) {
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

namespace {

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

ExitCode showConfiguration(CommandContext& context) {
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

}  // namespace

ExitCode configCommand(CommandContext& context) {
  if (context.operand(1) == "show") {
    return showConfiguration(context);
  }
  if (context.operand(1) == "history") {
    return listPlans(context, [](const Plan& plan) { return plan.state == PlanState::kConfirmed; });
  }
  return usageError(context, "config: expected show or history");
}

namespace {

ExitCode listClasses(CommandContext& context) {
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

}  // namespace

ExitCode classCommand(CommandContext& context) {
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

ExitCode serverCommand(CommandContext& context, ChangeType type) {
  if (context.operand(1).empty()) {
    return usageError(context, context.operand(0) + ": expected a server name");
  }
  ConfigurationChange change;
  change.type = type;
  change.name = context.operand(1);
  return makePlan(context, {change});
}

}  // namespace ramppond
