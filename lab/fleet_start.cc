// How the fleet comes up: processes, control group, first configuration.
#include <algorithm>

#include "lab/fleet.h"

namespace ramppond {

void Fleet::startServer(Server& server) {
  server.backend_process = std::make_unique<ChildProcess>(
      std::vector<std::string>{program("ramppond-backend"), "--config",
                               path(server.name + "-backend.toml")},
      path(server.name + "-backend.log"));
  server.daemon = std::make_unique<ChildProcess>(
      std::vector<std::string>{program("ramppond-daemon"), "--config", path(server.name + ".toml")},
      path(server.name + ".log"));
}

void Fleet::startControl(Control& control) {
  control.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{program("ramppond-control"), "--config",
                               path(control.name + ".toml")},
      path(control.name + ".log"));
}

std::optional<std::string> Fleet::start() {
  writeSettings();
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{program("ramppond-platform"), "--config", path("platform.toml")},
      path("platform.log"));
  for (Control& control : control_) {
    startControl(control);
  }
  for (const auto& server : servers_) {
    startServer(*server);
  }
  const std::string platform_url = "http://" + platform_address_.address() + "/servers";
  if (!waitFor([&] { return get(platform_url).complete; }, kStartTimeout)) {
    return "the platform did not start";
  }
  tellPlatform({});
  if (auto error = formGroup()) {
    return error;
  }
  if (auto error = confirmConfiguration()) {
    return error;
  }
  if (!waitFor([this] { return allDaemonsReady(); }, kStartTimeout)) {
    return "not every daemon got the configuration";
  }
  return std::nullopt;
}

std::optional<std::string> Fleet::formGroup() {
  for (std::size_t index = 0; index < control_.size(); ++index) {
    const std::string process = "control " + std::to_string(index);
    if (!waitFor([&] { return metric(process, "control_term").has_value(); }, kStartTimeout)) {
      return control_[index].name + " did not start";
    }
  }
  std::string output;
  const std::string first = control_.front().address.address();
  if (operatorCommand({"--control", first, "bootstrap"}, output) != 0) {
    return "bootstrap failed: " + output;
  }
  for (std::size_t index = 1; index < control_.size(); ++index) {
    const std::string address = control_[index].address.address();
    const bool added = waitFor(
        [&] {
          return operatorCommand({"--control", first, "member", "add", address}, output) == 0;
        },
        kGroupTimeout);
    if (!added) {
      return "member add failed: " + output;
    }
  }
  const auto all_vote = [&] {
    ControlRequest request;
    request.type = ControlRequestType::kStatus;
    ControlClient control({first}, kRequestTimeout);
    const auto reply = control.askMember(first, request);
    return reply && reply->status.members.size() == control_.size() &&
           std::all_of(reply->status.members.begin(), reply->status.members.end(),
                       [](const MemberStatus& member) { return member.member.voter; });
  };
  return waitFor(all_vote, kGroupTimeout) ? std::nullopt
                                          : std::optional<std::string>("learners do not vote");
}

std::optional<std::string> Fleet::confirmConfiguration() {
  ControlClient control(controlAddresses(), kGroupTimeout);
  ControlRequest plan;
  plan.type = ControlRequestType::kCommand;
  plan.command.type = CommandType::kPlan;
  plan.command.operator_request_id = "initial-plan";
  plan.command.changes = deployment_.initialChanges();
  const auto planned = control.ask(plan);
  if (!planned || planned->result.error != ErrorKind::kNone) {
    return "the first plan failed: " + (planned ? planned->result.reason : control.lastReason());
  }
  ControlRequest confirm;
  confirm.type = ControlRequestType::kCommand;
  confirm.command.type = CommandType::kConfirm;
  confirm.command.operator_request_id = "initial-confirm";
  confirm.command.plan_id = planned->result.plan_id;
  const auto confirmed = control.ask(confirm);
  if (!confirmed || confirmed->result.error != ErrorKind::kNone) {
    return "the first confirm failed";
  }
  return std::nullopt;
}

bool Fleet::allDaemonsReady() {
  for (std::size_t index = 0; index < control_.size(); ++index) {
    const auto listed = metric("control " + std::to_string(index), "control_servers_listed");
    if (listed.value_or(0) < static_cast<double>(servers_.size())) {
      return false;
    }
  }
  return std::all_of(servers_.begin(), servers_.end(), [this](const auto& server) {
    const std::string process = "daemon " + server->name;
    return metric(process, "configuration_index").value_or(0) > 0 &&
           metric(process, "configuration_stale").value_or(1) == 0;
  });
}

}  // namespace ramppond
