#include "lab/fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "common/command_line.h"
#include "common/metrics.h"
#include "common/process.h"
#include "control/platform_list.h"

namespace ramppond {
namespace {

constexpr Duration kStartTimeout = seconds(20);
constexpr Duration kPollPause = milliseconds(20);
constexpr Duration kRequestTimeout = seconds(2);
constexpr Duration kGroupTimeout = seconds(10);

// A name made unusable for paths is never made: names come from checked settings.
std::string tomlString(const std::string& text) {
  return "\"" + text + "\"";
}

std::string tomlList(const std::vector<std::string>& items) {
  std::string text = "[";
  for (const std::string& item : items) {
    text += (text.size() > 1 ? ", " : "") + tomlString(item);
  }
  return text + "]";
}

void writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
}

HttpClientResult get(HttpClient& client, const std::string& url) {
  HttpClientRequest request;
  request.method = "GET";
  request.url = url;
  request.timeout = kRequestTimeout;
  return sendAndWait(client, std::move(request));
}

}  // namespace

Fleet::Fleet(FleetOptions options, Deployment deployment)
    : options_(std::move(options)),
      deployment_(std::move(deployment)),
      client_(HttpClientOptions{}),
      rig_history_((std::filesystem::remove_all(options_.folder),
                    std::filesystem::create_directories(options_.folder),
                    options_.folder + "/rig.jsonl")) {
  for (std::uint32_t index = 0; index < deployment_.control_members; ++index) {
    control_.push_back({"control-" + std::to_string(index + 1), {}, {}, nullptr});
  }
  for (const ServiceSpec& service : deployment_.services) {
    for (std::uint32_t index = 0; index < service.servers; ++index) {
      auto server = std::make_unique<Server>();
      server->name = service.name + "-" + std::to_string(index + 1);
      server->service = service.name;
      server->zone = deployment_.zoneOf(index);
      servers_.push_back(std::move(server));
    }
  }
}

Fleet::~Fleet() = default;

std::vector<std::string> Fleet::frontAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& server : servers_) {
    addresses.push_back(server->front.address());
  }
  return addresses;
}

std::vector<std::string> Fleet::backendAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& server : servers_) {
    addresses.push_back(server->backend.address());
  }
  return addresses;
}

std::vector<std::string> Fleet::controlAddresses() const {
  std::vector<std::string> addresses;
  for (const Control& control : control_) {
    addresses.push_back(control.address.address());
  }
  return addresses;
}

std::vector<std::string> Fleet::serverNames() const {
  std::vector<std::string> names;
  for (const auto& server : servers_) {
    names.push_back(server->name);
  }
  return names;
}

Fleet::Server& Fleet::server(const std::string& name) {
  const auto found = std::find_if(servers_.begin(), servers_.end(),
                                  [&](const auto& server) { return server->name == name; });
  return **found;
}

void Fleet::writeSettings() {
  writeFile(path("platform.toml"),
            "listen = " + tomlString(platform_address_.address()) +
                "\nlag_ms = " + std::to_string(options_.platform_lag.count() / 1000) + "\n");
  for (const Control& control : control_) {
    writeFile(path(control.name + ".toml"),
              "name = " + tomlString(control.name) +
                  "\naddress = " + tomlString(control.address.address()) +
                  "\nadmin_address = " + tomlString(control.admin.address()) + "\ndata_folder = " +
                  tomlString(path(control.name + "-data")) + "\nplatform_url = " +
                  tomlString("http://" + platform_address_.address() + "/servers") + "\n");
  }
  std::uint64_t number = options_.random_seed * 1000;
  for (const auto& server : servers_) {
    writeServerSettings(*server, ++number);
  }
}

void Fleet::writeServerSettings(const Server& server, std::uint64_t number) {
  const ServiceSpec* spec = deployment_.findService(server.service);
  std::vector<std::string> called;
  for (const Route& route : spec->routes) {
    for (const RouteCall& call : route.calls) {
      if (std::find(called.begin(), called.end(), call.service) == called.end()) {
        called.push_back(call.service);
      }
    }
  }
  writeFile(path(server.name + ".toml"),
            "server = " + tomlString(server.name) + "\nservice = " + tomlString(server.service) +
                "\nzone = " + tomlString(server.zone) + "\nslots = " + std::to_string(spec->slots) +
                "\nfront_address = " + tomlString(server.front.address()) +
                "\npeer_address = " + tomlString(server.peer.address()) +
                "\negress_address = " + tomlString(server.egress.address()) +
                "\nadmin_address = " + tomlString(server.daemon_admin.address()) +
                "\nbackend_address = " + tomlString(server.backend.address()) +
                "\nbackend_connections = " + std::to_string(spec->connections) + "\ncontrol = " +
                tomlList(controlAddresses()) + "\nsubscriptions = " + tomlList(called) +
                "\npolicy = " + tomlString(options_.policy) +
                "\ndata_folder = " + tomlString(path(server.name + "-data")) + "\n");
  writeFile(path(server.name + "-backend.toml"),
            "server = " + tomlString(server.name) + "\nservice = " + tomlString(server.service) +
                "\ndeployment = " + tomlString(options_.deployment_path) +
                "\nlisten = " + tomlString(server.backend.address()) +
                "\nadmin_address = " + tomlString(server.backend_admin.address()) +
                "\negress_address = " + tomlString(server.egress.address()) +
                "\nhistory = " + tomlString(path(server.name + ".jsonl")) +
                "\nrandom_seed = " + std::to_string(number) + "\n");
}

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
  if (!waitFor([&] { return get(client_, platform_url).complete; }, kStartTimeout)) {
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

std::vector<std::string> Fleet::stop() {
  std::vector<std::string> failed;
  // Daemons first: they finish what is in flight with their back ends' help.
  for (const auto& server : servers_) {
    server->daemon->signal(SIGCONT);
    server->daemon->signal(SIGTERM);
  }
  for (const auto& server : servers_) {
    if (server->daemon->wait() != 0) {
      failed.push_back(server->name + " daemon");
    }
    server->backend_process->signal(SIGTERM);
  }
  for (const auto& server : servers_) {
    if (server->backend_process->wait() != 0) {
      failed.push_back(server->name + " back end");
    }
  }
  for (Control& control : control_) {
    control.process->signal(SIGCONT);
    control.process->signal(SIGTERM);
    if (control.process->wait() != 0) {
      failed.push_back(control.name);
    }
  }
  platform_->signal(SIGTERM);
  platform_->wait();
  return failed;
}

std::optional<std::size_t> Fleet::leader() {
  for (std::size_t index = 0; index < control_.size(); ++index) {
    if (metric("control " + std::to_string(index), "control_leader").value_or(0) == 1) {
      return index;
    }
  }
  return std::nullopt;
}

void Fleet::killServer(const std::string& name) {
  Server& target = server(name);
  target.daemon->signal(SIGKILL);
  target.backend_process->signal(SIGKILL);
  target.daemon->wait();
  target.backend_process->wait();
  record(HistoryEventType::kServerKilled, name);
}

void Fleet::restartServer(const std::string& name) {
  startServer(server(name));
}

bool Fleet::stopServerAsPlanned(const std::string& name) {
  Server& target = server(name);
  record(HistoryEventType::kBackendDraining, name);
  target.daemon->signal(SIGTERM);
  const bool daemon_ended = target.daemon->wait() == 0;
  target.backend_process->signal(SIGTERM);
  return target.backend_process->wait() == 0 && daemon_ended;
}

void Fleet::signalDaemon(const std::string& name, int number) {
  server(name).daemon->signal(number);
}

void Fleet::killControl(std::size_t index) {
  control_[index].process->signal(SIGKILL);
  control_[index].process->wait();
}

void Fleet::signalControl(std::size_t index, int number) {
  control_[index].process->signal(number);
}

void Fleet::restartControl(std::size_t index, bool wipe) {
  Control& control = control_[index];
  if (wipe) {
    std::filesystem::remove_all(path(control.name + "-data"));
  }
  startControl(control);
}

bool Fleet::readdControl(std::size_t index) {
  const std::string process = "control " + std::to_string(index);
  std::vector<std::string> others = controlAddresses();
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
  const auto succeeds = [&](const std::vector<std::string>& command) {
    return waitFor(
        [&] {
          std::vector<std::string> arguments = {"--control", joinList(others)};
          arguments.insert(arguments.end(), command.begin(), command.end());
          std::string output;
          return operatorCommand(arguments, output) == 0;
        },
        kGroupTimeout);
  };
  return waitFor([&] { return metric(process, "control_term").has_value(); }, kStartTimeout) &&
         succeeds({"member", "remove", control_[index].name}) &&
         succeeds({"member", "add", control_[index].address.address()});
}

void Fleet::setSlowdown(const std::string& service, double factor) {
  for (const auto& server : servers_) {
    if (server->service != service) {
      continue;
    }
    HttpClientRequest request;
    request.url = "http://" + server->backend_admin.address() + "/slow";
    request.body = std::to_string(factor);
    request.timeout = kRequestTimeout;
    sendAndWait(client_, std::move(request));
  }
}

void Fleet::tellPlatform(const std::vector<std::string>& leaving) {
  std::vector<ServerInfo> list;
  for (const auto& server : servers_) {
    ServerInfo info;
    info.name = server->name;
    info.service = server->service;
    info.zone = server->zone;
    info.peer_address = server->peer.address();
    info.leaving = std::find(leaving.begin(), leaving.end(), server->name) != leaving.end();
    list.push_back(std::move(info));
  }
  setPlatformList(list);
}

void Fleet::setPlatformList(const std::vector<ServerInfo>& list) {
  HttpClientRequest request;
  request.method = "PUT";
  request.url = "http://" + platform_address_.address() + "/servers";
  request.body = formatPlatformList(list);
  request.timeout = kRequestTimeout;
  sendAndWait(client_, std::move(request));
}

int Fleet::operatorCommand(const std::vector<std::string>& arguments, std::string& output) {
  std::vector<std::string> command = {program("ramppond")};
  if (std::find(arguments.begin(), arguments.end(), "--control") == arguments.end()) {
    command.insert(command.end(), {"--control", joinList(controlAddresses())});
  }
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string log = path("operator.out");
  std::filesystem::remove(log);
  ChildProcess process(command, log);
  const int status = process.wait();
  std::ifstream file(log);
  std::ostringstream text;
  text << file.rdbuf();
  output = text.str();
  return status;
}

std::optional<double> Fleet::metric(const std::string& process, const std::string& name) {
  std::string address;
  const auto space = process.find(' ');
  const std::string kind = process.substr(0, space);
  const std::string which = process.substr(space + 1);
  if (kind == "control") {
    address = control_[static_cast<std::size_t>(std::atoi(which.c_str()))].admin.address();
  } else {
    const Server& target = server(which);
    address = kind == "daemon" ? target.daemon_admin.address() : target.backend_admin.address();
  }
  const HttpClientResult page = get(client_, "http://" + address + "/metrics");
  return page.complete ? metricIn(page.body, name) : std::nullopt;
}

double Fleet::daemonTotal(const std::string& name) {
  double total = 0;
  for (const auto& server : servers_) {
    total += metric("daemon " + server->name, name).value_or(0);
  }
  return total;
}

bool Fleet::waitFor(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint give_up = monotonicNow() + timeout;
  while (!condition()) {
    if (monotonicNow() >= give_up) {
      return false;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

void Fleet::record(HistoryEventType type, const std::string& who) {
  HistoryEvent event;
  event.time_us = monotonicNow().count();
  event.type = type;
  event.who = who;
  record(event);
}

std::vector<HistoryEvent> Fleet::history() const {
  std::vector<std::string> paths = {callerHistoryPath(), path("rig.jsonl")};
  for (const auto& server : servers_) {
    paths.push_back(path(server->name + ".jsonl"));
  }
  std::vector<HistoryEvent> all;
  for (const std::string& file : paths) {
    const auto events = readHistory(file);
    if (events) {
      all.insert(all.end(), events->begin(), events->end());
    }
  }
  std::stable_sort(all.begin(), all.end(), [](const HistoryEvent& left, const HistoryEvent& right) {
    return left.time_us < right.time_us;
  });
  return all;
}

}  // namespace ramppond
