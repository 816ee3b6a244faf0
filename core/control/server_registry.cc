#include "core/control/server_registry.h"

#include <xxhash.h>

#include <algorithm>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

std::uint64_t rendezvousWeight(const std::string& daemon, const std::string& server) {
  const std::string pair = daemon + '\n' + server;
  return XXH3_64bits(pair.data(), pair.size());
}

}  // namespace

void ServerRegistry::setPlatformList(const std::vector<ServerInfo>& servers) {
  std::map<std::string, std::vector<ServerInfo>> next;
  std::map<std::string, std::string> service_of_server;
  for (const ServerInfo& listed : servers) {
    ServerInfo server = listed;
    const auto session = sessions_.find(server.name);
    if (session != sessions_.end()) {
      server.incarnation = session->second.session.incarnation;
      server.leaving = server.leaving || session->second.session.draining;
    }
    service_of_server[server.name] = server.service;
    next[server.service].push_back(std::move(server));
  }
  for (const auto& [service, listed] : next) {
    const auto present = services_.find(service);
    if (present == services_.end() || present->second != listed) {
      markChanged(service);
    }
  }
  for (const auto& [service, present] : services_) {
    if (next.count(service) == 0) {
      markChanged(service);
    }
  }
  services_ = std::move(next);
  service_of_server_ = std::move(service_of_server);
}

void ServerRegistry::markChanged(const std::string& service) {
  version_ += 1;
  service_versions_[service] = version_;
}

std::uint64_t ServerRegistry::versionOf(const std::string& service) const {
  const auto found = service_versions_.find(service);
  return found == service_versions_.end() ? 0 : found->second;
}

ServerInfo* ServerRegistry::findServer(const std::string& name) {
  const auto service = service_of_server_.find(name);
  if (service == service_of_server_.end()) {
    return nullptr;
  }
  auto& servers = services_[service->second];
  const auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const ServerInfo& server) { return server.name == name; });
  return found == servers.end() ? nullptr : &*found;
}

void ServerRegistry::onSession(const DaemonSession& session, TimePoint now) {
  Session& present = sessions_[session.server];
  if (session.started_ms < present.session.started_ms) {
    return;  // Another member reported an incarnation that has been replaced since.
  }
  present.heard = now;
  const bool changed = present.session.incarnation != session.incarnation ||
                       present.session.draining != session.draining;
  if (!changed) {
    return;
  }
  changes_.erase(present.session.changed);
  present.session = session;
  present.session.changed = ++counter_;
  changes_[counter_] = session.server;
  apply(session);
}

void ServerRegistry::apply(const DaemonSession& session) {
  ServerInfo* server = findServer(session.server);
  if (server == nullptr) {
    return;
  }
  server->incarnation = session.incarnation;
  server->leaving = session.draining;
  markChanged(server->service);
}

ServiceServers ServerRegistry::serversFor(const std::string& service, const std::string& zone,
                                          const std::string& daemon) const {
  ServiceServers result;
  result.service = service;
  const auto found = services_.find(service);
  if (found != services_.end()) {
    result.servers = found->second;
  }
  if (result.servers.size() > kMaximumServersPerService) {
    const auto before = [&](const ServerInfo& left, const ServerInfo& right) {
      const bool left_local = left.zone == zone;
      const bool right_local = right.zone == zone;
      if (left_local != right_local) {
        return left_local;
      }
      return rendezvousWeight(daemon, left.name) > rendezvousWeight(daemon, right.name);
    };
    // At most half of the subset is from the daemon's zone, so that the loss of a zone leaves
    // servers.
    std::sort(result.servers.begin(), result.servers.end(), before);
    const auto locals = static_cast<std::size_t>(
        std::count_if(result.servers.begin(), result.servers.end(),
                      [&](const ServerInfo& server) { return server.zone == zone; }));
    const std::size_t kept_locals = std::min(locals, kMaximumServersPerService / 2);
    result.servers.erase(result.servers.begin() + static_cast<std::ptrdiff_t>(kept_locals),
                         result.servers.begin() + static_cast<std::ptrdiff_t>(locals));
    if (result.servers.size() > kMaximumServersPerService) {
      result.servers.resize(kMaximumServersPerService);
    }
  }
  const std::string bytes = encode(result);
  result.digest =
      XXH3_64bits(bytes.data(), bytes.size()) | 1U;  // Never 0, which stands for no list.
  return result;
}

std::vector<DaemonSession> ServerRegistry::sessionsSince(std::uint64_t since) const {
  std::vector<DaemonSession> sessions;
  for (auto change = changes_.upper_bound(since); change != changes_.end(); ++change) {
    sessions.push_back(sessions_.at(change->second).session);
  }
  return sessions;
}

}  // namespace ramppond
