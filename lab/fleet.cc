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

constexpr Duration kPollPause = milliseconds(20);

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

HttpClientResult Fleet::get(const std::string& url) {
  HttpClientRequest request;
  request.method = "GET";
  request.url = url;
  request.timeout = kRequestTimeout;
  return sendAndWait(client_, std::move(request));
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
  const HttpClientResult page = get("http://" + address + "/metrics");
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
