#include "lab/simulation/simulated_operator.h"

namespace ramppond {
namespace {

constexpr Duration kAskTimeout = milliseconds(700);
constexpr Duration kAskPause = milliseconds(100);
constexpr std::uint32_t kMostAttempts = 60;

}  // namespace

SimulatedOperator::SimulatedOperator(World& world, Directory& directory, std::string name,
                                     std::vector<std::string> addresses)
    : world_(world),
      directory_(directory),
      name_(std::move(name)),
      addresses_(std::move(addresses)),
      node_(world.network.addNode("callers", true)) {}

void SimulatedOperator::ask(const ControlRequest& request, const Done& done) {
  const std::size_t first = world_.random.below(addresses_.size());
  askFrom(first, addresses_[first], request, 0, done);
}

void SimulatedOperator::askMember(const std::string& address, const ControlRequest& request,
                                  const Done& done) {
  directory_.controls.at(address)->ask(node_, request, kAskTimeout, done);
}

void SimulatedOperator::askFrom(std::size_t next, const std::string& target,
                                const ControlRequest& request, std::uint32_t attempts,
                                const Done& done) {
  directory_.controls.at(target)->ask(
      node_, request, kAskTimeout,
      [this, next, target, request, attempts, done](const std::optional<ControlReply>& reply) {
        if (reply && reply->error != ErrorKind::kNotLeader) {
          done(reply);
          return;
        }
        if (attempts >= kMostAttempts) {
          done(std::nullopt);
          return;
        }
        const bool hinted = reply && directory_.controls.count(reply->leader_address) != 0 &&
                            reply->leader_address != target;
        const std::size_t following = (next + 1) % addresses_.size();
        const std::string other = hinted ? reply->leader_address : addresses_[following];
        world_.events.after(kAskPause, [this, following, other, request, attempts, done] {
          askFrom(following, other, request, attempts + 1, done);
        });
      });
}

void SimulatedOperator::change(const std::vector<ConfigurationChange>& changes, const Done& done) {
  ControlRequest read;
  read.type = ControlRequestType::kReadConfiguration;
  const TimePoint invoked = world_.now();
  ask(read, [this, changes, done, invoked](const std::optional<ControlReply>& reply) {
    if (reply) {
      recordOperation(RegisterOperationType::kRead, invoked, {}, reply->configuration.version);
      plan(changes, reply->configuration.version, done);
    } else if (done) {
      done(reply);
    }
  });
}

void SimulatedOperator::recordOperation(RegisterOperationType type, TimePoint invoked,
                                        ConfigurationVersion base, ConfigurationVersion version) {
  operations_.push_back({type, name_, invoked, world_.now(), base, version});
}

void SimulatedOperator::plan(const std::vector<ConfigurationChange>& changes,
                             ConfigurationVersion base, const Done& done) {
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command.type = CommandType::kPlan;
  request.command.operator_request_id = requestId();
  request.command.base_version = base;
  request.command.changes = changes;
  ask(request, [this, base, done](const std::optional<ControlReply>& reply) {
    if (reply && reply->result.error == ErrorKind::kNone) {
      confirm(reply->result.plan_id, base, done);
    } else if (done) {
      done(reply);
    }
  });
}

void SimulatedOperator::confirm(std::uint64_t plan_id, ConfigurationVersion base,
                                const Done& done) {
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command.type = CommandType::kConfirm;
  request.command.operator_request_id = requestId();
  request.command.plan_id = plan_id;
  const TimePoint invoked = world_.now();
  ask(request, [this, base, done, invoked](const std::optional<ControlReply>& reply) {
    if (reply && reply->result.error == ErrorKind::kNone) {
      recordOperation(RegisterOperationType::kConfirm, invoked, base, reply->result.version);
      HistoryEvent event = world_.event(HistoryEventType::kPlanConfirmed, name_);
      event.number = reply->result.version.index;
      event.detail = base.toString();
      world_.record(event);
    }
    if (done) {
      done(reply);
    }
  });
}

}  // namespace ramppond
