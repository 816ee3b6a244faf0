#include "core/call_model/router.h"

#include <algorithm>

namespace ramppond {
namespace {

// Weight of a new sample in the moving average of the latency.
constexpr double kLatencySmoothing = 0.1;
// Latency assumed for a server without samples.
constexpr double kUnknownLatencyUs = 1000;
// A server that refused a call because of load is avoided for about one service time, so that
// retries and later calls try other servers first.
constexpr Duration kAvoidAfterRefusal = milliseconds(20);
constexpr Duration kAvoidAfterFailure = milliseconds(200);
constexpr std::uint32_t kMaximumBackoffDoublings = 4;
// Period in which the share of a new server grows, since it starts cold.
constexpr Duration kSlowStart = seconds(5);
constexpr double kSlowStartPenalty = 3.0;

}  // namespace

void Router::setServers(const std::string& service, const std::vector<ServerInfo>& servers,
                        TimePoint now) {
  const bool first_list = services_.count(service) == 0;
  ServerMap& servers_by_name = services_[service];
  ServerMap next;
  for (const ServerInfo& info : servers) {
    const auto found = servers_by_name.find(info.name);
    Server server;
    if (found != servers_by_name.end() && found->second.info.peer_address == info.peer_address) {
      server = found->second;
    } else {
      server.known_since = first_list ? now - kSlowStart : now;
    }
    const bool restarted = info.incarnation != 0 && info.incarnation != server.info.incarnation;
    server.info = info;
    if (restarted) {
      server.incarnation = info.incarnation;
      server.draining = false;
      server.failures = 0;
      server.avoid_until = TimePoint(0);
    }
    next.emplace(info.name, std::move(server));
  }
  servers_by_name = std::move(next);
}

void Router::setDrainedByOperator(const std::vector<std::string>& servers) {
  drained_by_operator_ = servers;
}

bool Router::knows(const std::string& service) const {
  return services_.count(service) != 0;
}

bool Router::acceptsWork(const Server& server) const {
  const bool drained = std::find(drained_by_operator_.begin(), drained_by_operator_.end(),
                                 server.info.name) != drained_by_operator_.end();
  return !server.draining && !server.info.leaving && !drained;
}

// Expected wait: the latency times the number of calls ahead, with a penalty during slow start.
double Router::score(const Server& server, TimePoint now) const {
  const double latency = server.latency_us > 0 ? server.latency_us : kUnknownLatencyUs;
  const double load = 1.0 + server.outstanding + server.load_permille / 100.0;
  const Duration age = std::min<Duration>(kSlowStart, now - server.known_since);
  const double slow_start_left = 1.0 - static_cast<double>(age.count()) / kSlowStart.count();
  return latency * load * (1.0 + kSlowStartPenalty * slow_start_left);
}

const Router::Server* Router::pickOfTwo(const std::vector<const Server*>& candidates,
                                        TimePoint now) {
  std::vector<const Server*> local;
  for (const Server* server : candidates) {
    if (server->info.zone == zone_) {
      local.push_back(server);
    }
  }
  const auto& first_pool = local.empty() ? candidates : local;
  const Server* first = first_pool[random_.below(first_pool.size())];
  const Server* second = candidates[random_.below(candidates.size())];
  return score(*second, now) < score(*first, now) ? second : first;
}

std::optional<RouteChoice> Router::choose(const std::string& service,
                                          const std::vector<std::string>& excluded, TimePoint now) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  std::vector<const Server*> preferred;
  std::vector<const Server*> avoided;
  for (const auto& [name, server] : found->second) {
    if (!acceptsWork(server)) {
      continue;
    }
    const bool tried = std::find(excluded.begin(), excluded.end(), name) != excluded.end();
    const bool avoid = tried || now < server.avoid_until;
    (avoid ? avoided : preferred).push_back(&server);
  }
  if (preferred.empty() && avoided.empty()) {
    return std::nullopt;
  }
  const Server* chosen = pickOfTwo(preferred.empty() ? avoided : preferred, now);
  return RouteChoice{chosen->info.name, chosen->info.peer_address, chosen->incarnation,
                     preferred.empty()};
}

Router::Server* Router::find(const std::string& service, const std::string& server) {
  const auto servers = services_.find(service);
  if (servers == services_.end()) {
    return nullptr;
  }
  const auto found = servers->second.find(server);
  return found == servers->second.end() ? nullptr : &found->second;
}

void Router::onSent(const std::string& service, const std::string& server) {
  Server* target = find(service, server);
  if (target != nullptr) {
    target->outstanding += 1;
  }
}

void Router::onAbandoned(const std::string& service, const std::string& server) {
  Server* target = find(service, server);
  if (target != nullptr && target->outstanding > 0) {
    target->outstanding -= 1;
  }
}

void Router::onAnswer(const std::string& service, const std::string& server,
                      const ServerFeedback& feedback, TimePoint now) {
  onAbandoned(service, server);
  Server* target = find(service, server);
  if (target == nullptr) {
    return;
  }
  target->failures = 0;
  target->incarnation = feedback.incarnation;
  target->draining = feedback.draining;
  target->load_permille = feedback.load_permille;
  if (feedback.refused) {
    target->avoid_until = now + kAvoidAfterRefusal;
    return;
  }
  const auto sample = static_cast<double>(feedback.latency.count());
  target->latency_us = target->latency_us <= 0
                           ? sample
                           : target->latency_us + kLatencySmoothing * (sample - target->latency_us);
}

void Router::onFailure(const std::string& service, const std::string& server, bool never_sent,
                       TimePoint now) {
  onAbandoned(service, server);
  Server* target = find(service, server);
  if (target == nullptr) {
    return;
  }
  const std::uint32_t doublings = std::min(target->failures, kMaximumBackoffDoublings);
  target->failures += 1;
  target->avoid_until = now + kAvoidAfterFailure * (1U << doublings);
  if (never_sent) {
    target->incarnation = 0;  // The server may have been replaced by another process.
  }
}

}  // namespace ramppond
