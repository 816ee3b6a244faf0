#include "tests/core/distribution/distribution_fleet.h"

#include <algorithm>
#include <iterator>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr std::size_t kSeeds = 3;

std::string daemonAddress(std::size_t daemon) {
  return "10.1." + std::to_string(daemon / 250) + "." + std::to_string(daemon % 250) + ":7000";
}

InstanceRecord recordOf(std::size_t daemon) {
  InstanceRecord record;
  record.proxy_address = daemonAddress(daemon);
  record.zone = "zone-" + std::to_string(daemon % 5);
  record.server_incarnation = "instance-" + std::to_string(daemon);
  record.service = "service-" + std::to_string(daemon % 4);
  record.slots = 50;
  record.state = InstanceState::kReady;
  return record;
}

}  // namespace

TrafficConfiguration configurationOf(std::uint64_t number, std::size_t routes) {
  TrafficConfiguration configuration;
  configuration.number = number;
  configuration.services.push_back({"service-0", "/health", 100});
  for (std::size_t index = 0; index < routes; ++index) {
    TrafficRoute route;
    route.name = "route-" + std::to_string(index);
    route.host = "host-" + std::to_string(index) + ".example";
    route.path_prefix = "/" + std::to_string(index) + "/";
    route.timeout = seconds(5);
    route.goal = seconds(1);
    route.split.push_back({"service-0", 1000000});
    configuration.routes.push_back(std::move(route));
  }
  return configuration;
}

DistributionFleet::DistributionFleet(std::size_t daemons, const GroupOptions& group)
    : group_(group), known_(daemons), answered_by_(daemons) {
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    sessions_.push_back(sessionOf(daemon, 1));
  }
}

std::unique_ptr<ProxySession> DistributionFleet::sessionOf(std::size_t daemon,
                                                           std::uint64_t incarnation) {
  ProxySessionOptions options;
  for (std::size_t seed = 0; seed < kSeeds; ++seed) {
    options.seeds.push_back(ControlGroup::addressOf(seed));
  }
  options.incarnation = incarnation;
  options.random_seed = daemon + 1;
  options.zone = recordOf(daemon).zone;
  auto session = std::make_unique<ProxySession>(options);
  session->setOwnRecord(recordOf(daemon));
  return session;
}

void DistributionFleet::restart(std::size_t daemon) {
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    pending = pending->second.daemon == daemon ? pending_.erase(pending) : std::next(pending);
  }
  known_.at(daemon).clear();
  sessions_.at(daemon) = sessionOf(daemon, sessions_.at(daemon)->ownRecord().proxy_incarnation + 1);
}

void DistributionFleet::run(Duration time) {
  for (const TimePoint end = group_.now() + time; group_.now() < end;) {
    for (std::size_t daemon = 0; daemon < sessions_.size(); ++daemon) {
      poll(daemon);
    }
    group_.step();
    for (const auto& [token, reply] : group_.takeAnswers()) {
      deliver(token, reply);
    }
    expirePolls();
  }
}

void DistributionFleet::poll(std::size_t daemon) {
  const auto outgoing = sessions_[daemon]->takePoll(group_.now());
  if (!outgoing) {
    return;
  }
  const std::size_t member = ControlGroup::memberAt(outgoing->address);
  const ControlToken token =
      member == silent_ ? next_unanswered_++ : group_.request(member, outgoing->request);
  pending_[token] = {daemon, outgoing->poll_id, group_.now() + outgoing->timeout};
}

void DistributionFleet::deliver(ControlToken token, const ControlReply& reply) {
  const auto pending = pending_.find(token);
  if (pending == pending_.end()) {
    return;
  }
  const std::size_t daemon = pending->second.daemon;
  const std::uint64_t bytes = encode(reply).size();
  sent_.all += bytes;
  sent_.longest_answer = std::max(sent_.longest_answer, bytes);
  ProxySession& session = *sessions_[daemon];
  session.onReply(pending->second.poll_id, reply, group_.now());
  pending_.erase(pending);
  if (!session.upstream().empty()) {
    answered_by_[daemon] = ControlGroup::memberAt(session.upstream());
  }
  for (InstanceRecord& record : session.takeInstances()) {
    known_[daemon][record.proxy_address] = std::move(record);
  }
}

void DistributionFleet::expirePolls() {
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (group_.now() < pending->second.deadline) {
      ++pending;
      continue;
    }
    sessions_[pending->second.daemon]->onReply(pending->second.poll_id, std::nullopt, group_.now());
    pending = pending_.erase(pending);
  }
}

std::vector<std::size_t> DistributionFleet::daemonsByMember() const {
  std::vector<std::size_t> daemons(group_.size(), 0);
  for (const auto& member : answered_by_) {
    if (member) {
      daemons[*member] += 1;
    }
  }
  return daemons;
}

std::size_t DistributionFleet::withoutConfiguration(std::uint64_t number) const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(), [&](const auto& session) {
        return !session->hasTraffic() || session->traffic().number != number;
      }));
}

void DistributionFleet::changeRecord(std::size_t daemon) {
  sessions_.at(daemon)->setOwnRecord(recordOf(daemon));
}

}  // namespace ramppond
