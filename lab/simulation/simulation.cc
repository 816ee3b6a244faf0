#include "lab/simulation/simulation.h"

#include <algorithm>

namespace ramppond {
namespace {

constexpr Duration kPlatformInterval = seconds(1);
constexpr Duration kRetryPause = milliseconds(200);

NetworkOptions networkOptions(const Deployment& deployment) {
  NetworkOptions options;
  options.zone_delay = deployment.zone_delay;
  options.client_delay = deployment.client_delay;
  if (!deployment.services.empty()) {
    options.connect_cost = deployment.services.front().connect_cost;
  }
  return options;
}

}  // namespace

Simulation::Simulation(const Deployment& deployment, const SimulationOptions& options)
    : deployment_(deployment),
      options_(options),
      world_(deployment, findOverloadPolicy(options.policy).value_or(OverloadPolicy{}),
             networkOptions(deployment), options.seed),
      fault_random_(options.seed + 77),
      base_rate_(deployment.capacityPerSecond() * options.load) {
  build();
}

void Simulation::build() {
  for (std::uint32_t index = 0; index < deployment_.control_members; ++index) {
    controls_.push_back(std::make_unique<SimulatedControl>(
        world_, directory_, "control-" + std::to_string(index + 1), deployment_.zoneOf(index),
        SimulatedControlOptions{}));
  }
  for (const ServiceSpec& service : deployment_.services) {
    for (std::uint32_t index = 0; index < service.servers; ++index) {
      daemons_.push_back(std::make_unique<SimulatedDaemon>(
          world_, directory_, service.name + "-" + std::to_string(index + 1), service,
          deployment_.zoneOf(index)));
    }
  }
  std::vector<std::string> addresses;
  for (const auto& control : controls_) {
    addresses.push_back(control->address());
  }
  for (const std::string name : {"first-operator", "second-operator"}) {
    operators_.push_back(std::make_unique<SimulatedOperator>(world_, directory_, name, addresses));
  }
  std::vector<SimulatedDaemon*> fronts;
  for (const auto& daemon : daemons_) {
    fronts.push_back(daemon.get());
  }
  CallerOptions callers;
  callers.rate = base_rate_;
  callers.retry = options_.retry;
  callers.maximum_retries = options_.client_retries;
  callers_ = std::make_unique<SimulatedCallers>(world_, std::move(fronts), callers);
}

void Simulation::at(Duration time, std::function<void()> action) {
  world_.events.at(options_.warm_up + time, std::move(action));
}

std::optional<std::string> Simulation::run() {
  for (const auto& control : controls_) {
    control->start();
  }
  for (const auto& daemon : daemons_) {
    daemon->start();
  }
  pollPlatform();
  world_.events.at(milliseconds(50), [this] { bootstrap(); });
  world_.events.runUntil(options_.warm_up);
  const bool ready = std::all_of(daemons_.begin(), daemons_.end(), [](const auto& daemon) {
    return daemon->core()->session().ready();
  });
  if (!configured_ || !ready) {
    return "the fleet did not come up within the warm-up";
  }
  callers_->start();
  world_.events.runUntil(options_.warm_up + options_.length);
  callers_->stop();
  world_.events.runUntil(options_.warm_up + options_.length + options_.wind_down);
  return std::nullopt;
}

void Simulation::bootstrap() {
  ControlRequest request;
  request.type = ControlRequestType::kBootstrap;
  firstOperator().askMember(controls_.front()->address(), request,
                            [this](const std::optional<ControlReply>&) { addMembers(1); });
}

void Simulation::addMembers(std::size_t next) {
  if (next < controls_.size()) {
    addMember(next, [this, next] { addMembers(next + 1); });
    return;
  }
  firstOperator().change(deployment_.initialChanges(),
                         [this](const std::optional<ControlReply>& reply) {
                           configured_ = reply && reply->result.error == ErrorKind::kNone;
                         });
}

void Simulation::addMember(std::size_t index, const std::function<void()>& then) {
  SimulatedControl& control = *controls_[index];
  ControlRequest identity;
  identity.type = ControlRequestType::kIdentity;
  firstOperator().askMember(
      control.address(), identity,
      [this, index, then, &control](const std::optional<ControlReply>& reply) {
        const auto again = [this, index, then] {
          world_.events.after(kRetryPause, [this, index, then] { addMember(index, then); });
        };
        if (!reply) {
          again();
          return;
        }
        ControlRequest add;
        add.type = ControlRequestType::kAddMember;
        add.member.id = reply->status.self;
        add.member.name = control.name();
        add.member.address = control.address();
        firstOperator().ask(add, [again, then](const std::optional<ControlReply>& added) {
          if (added && added->error == ErrorKind::kNone) {
            then();
          } else {
            again();
          }
        });
      });
}

void Simulation::readd(SimulatedControl& control) {
  ControlRequest remove;
  remove.type = ControlRequestType::kRemoveMember;
  remove.member.name = control.name();
  firstOperator().ask(remove, [this, &control](const std::optional<ControlReply>& reply) {
    const bool gone =
        reply && (reply->error == ErrorKind::kNone || reply->error == ErrorKind::kNotFound);
    if (!gone) {
      world_.events.after(kRetryPause, [this, &control] { readd(control); });
      return;
    }
    const auto position = std::find_if(controls_.begin(), controls_.end(),
                                       [&](const auto& item) { return item.get() == &control; });
    addMember(static_cast<std::size_t>(position - controls_.begin()), [] {});
  });
}

std::vector<ServerInfo> Simulation::platformList() const {
  std::vector<ServerInfo> list;
  for (const auto& daemon : daemons_) {
    ServerInfo info;
    info.name = daemon->name();
    info.service = daemon->service();
    info.zone = daemon->zone();
    info.peer_address = daemon->address();
    info.leaving = leaving_.count(daemon->name()) != 0;
    list.push_back(std::move(info));
  }
  return list;
}

void Simulation::pollPlatform() {
  for (const auto& control : controls_) {
    control->onPlatformList(platformList());
  }
  world_.events.after(kPlatformInterval, [this] { pollPlatform(); });
}

void Simulation::tellPlatform(const std::string& server, bool leaving) {
  world_.events.after(options_.platform_lag, [this, server, leaving] {
    if (leaving) {
      leaving_.insert(server);
    } else {
      leaving_.erase(server);
    }
  });
}

SimulatedDaemon& Simulation::randomDaemon() {
  return *daemons_[fault_random_.below(daemons_.size())];
}

std::vector<SimulatedDaemon*> Simulation::serversOf(const std::string& service) {
  std::vector<SimulatedDaemon*> found;
  for (const auto& daemon : daemons_) {
    if (daemon->service() == service) {
      found.push_back(daemon.get());
    }
  }
  return found;
}

std::set<std::string> Simulation::worksReaching(const std::string& service) const {
  std::set<std::string> works;
  for (const WorkSpec& work : deployment_.works) {
    const std::vector<double> slot_ms =
        deployment_.slotMs(work.type.service, work.type.path_prefix);
    for (std::size_t index = 0; index < slot_ms.size(); ++index) {
      if (slot_ms[index] > 0 && deployment_.services[index].name == service) {
        works.insert(work.type.name);
      }
    }
  }
  return works;
}

SimulatedControl* Simulation::leader() {
  const auto found = std::find_if(controls_.begin(), controls_.end(),
                                  [](const auto& control) { return control->leads(); });
  return found == controls_.end() ? nullptr : found->get();
}

SimulatedControl* Simulation::randomFollower() {
  std::vector<SimulatedControl*> followers;
  for (const auto& control : controls_) {
    if (control->alive() && !control->leads()) {
      followers.push_back(control.get());
    }
  }
  return followers.empty() ? nullptr : followers[fault_random_.below(followers.size())];
}

void Simulation::setSlowdown(const std::string& service, double factor) {
  for (SimulatedDaemon* daemon : serversOf(service)) {
    daemon->backend().setSlowdown(factor);
  }
}

void Simulation::changeConfiguration(SimulatedOperator& who) {
  ConfigurationChange change;
  change.type = ChangeType::kSetClass;
  change.priority_class.name = "class-" + std::to_string(changes_ % 8);
  change.priority_class.weight = 1 + changes_ % 5;
  changes_ += 1;
  who.change({change});
}

std::vector<std::string> Simulation::serverNames() const {
  std::vector<std::string> names;
  for (const auto& daemon : daemons_) {
    names.push_back(daemon->name());
  }
  return names;
}

}  // namespace ramppond
