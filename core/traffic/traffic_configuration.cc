#include "core/traffic/traffic_configuration.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace ramppond {
namespace {

std::string lowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

std::optional<std::string> validateSplit(const TrafficRoute& route,
                                         const std::set<std::string>& services) {
  std::int64_t total = 0;
  for (const WeightedService& part : route.split) {
    if (services.count(part.service) == 0) {
      return "route '" + route.name + "': service '" + part.service + "' is not defined";
    }
    if (part.weight_millionths < 0) {
      return "route '" + route.name + "': weight: expected 0 or more";
    }
    total += part.weight_millionths;
  }
  if (total <= 0) {
    return "route '" + route.name + "': weights: expected a sum above 0";
  }
  return std::nullopt;
}

std::optional<std::string> validateRoute(const TrafficRoute& route,
                                         const std::set<std::string>& services) {
  if (route.host.empty()) {
    return "route '" + route.name + "': host: expected a name";
  }
  const std::string& prefix = route.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return "route '" + route.name + "': path prefix: expected a slash at both ends";
  }
  if (route.timeout <= Duration(0) || route.timeout > kMaxRouteTimeout) {
    return "route '" + route.name + "': time-out: expected above 0 and at most 10 minutes";
  }
  if (route.goal < Duration(0) || route.goal >= route.timeout + kMaxGoalAboveTimeout) {
    return "route '" + route.name + "': goal: expected less than a minute above the time-out";
  }
  return validateSplit(route, services);
}

std::optional<std::string> validateTenants(const std::vector<TenantDefinition>& tenants) {
  std::set<std::string> names;
  std::map<std::string, std::string> owners;
  for (const TenantDefinition& tenant : tenants) {
    const std::string place = "tenant '" + tenant.name + "'";
    if (tenant.name.empty()) {
      return "tenant '': name: expected a name";
    }
    if (!names.insert(tenant.name).second) {
      return place + ": name: expected one tenant of this name, found two";
    }
    for (const std::string& digest : tenant.key_digests) {
      const auto [owner, first] = owners.emplace(digest, tenant.name);
      if (!first) {
        return place + ": keys: expected keys that no other entry has, found one of tenant '" +
               owner->second + "'";
      }
    }
  }
  return std::nullopt;
}

bool isControl(unsigned char character) {
  return character < 0x20 || character == 0x7F;
}

bool isControlOrSpace(unsigned char character) {
  return isControl(character) || character == ' ';
}

/// The name without control characters, for an error.
std::string printable(std::string name) {
  std::replace_if(name.begin(), name.end(), isControl, '?');
  return name;
}

// Receivers of a header field remove spaces at its ends, so that two tenants would get one name.
bool fitsHeaderField(const std::string& name) {
  return name.empty() || (std::none_of(name.begin(), name.end(), isControl) &&
                          name.front() != ' ' && name.back() != ' ');
}

std::optional<std::string> validateName(const std::string& kind, const std::string& name) {
  if (fitsHeaderField(name)) {
    return std::nullopt;
  }
  return kind + " '" + printable(name) +
         "': name: expected no control characters and no space at either end";
}

std::optional<std::string> validateService(const ServiceDefinition& service) {
  if (auto error = validateName("service", service.name)) {
    return error;
  }
  const std::string& path = service.health_path;
  if (std::any_of(path.begin(), path.end(), isControlOrSpace)) {
    return "service '" + service.name + "': health path: expected visible characters";
  }
  return std::nullopt;
}

std::optional<std::string> validateNames(const TrafficConfiguration& configuration) {
  for (const ServiceDefinition& service : configuration.services) {
    if (auto error = validateService(service)) {
      return error;
    }
  }
  for (const TrafficRoute& route : configuration.routes) {
    if (auto error = validateName("route", route.name)) {
      return error;
    }
  }
  for (const TenantDefinition& tenant : configuration.tenants) {
    if (auto error = validateName("tenant", tenant.name)) {
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> validateTraffic(const TrafficConfiguration& configuration) {
  std::set<std::string> services;
  for (const ServiceDefinition& service : configuration.services) {
    services.insert(service.name);
  }
  for (const TrafficRoute& route : configuration.routes) {
    if (auto error = validateRoute(route, services)) {
      return error;
    }
  }
  return validateTenants(configuration.tenants);
}

std::optional<std::string> validateNewTraffic(const TrafficConfiguration& configuration) {
  if (auto error = validateNames(configuration)) {
    return error;
  }
  return validateTraffic(configuration);
}

TrafficRoutes::TrafficRoutes(const TrafficConfiguration& configuration) {
  for (const TrafficRoute& route : configuration.routes) {
    by_host_[lowerCase(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const TrafficRoute* left, const TrafficRoute* right) {
                       return left->path_prefix.size() > right->path_prefix.size();
                     });
  }
}

const TrafficRoute* TrafficRoutes::match(std::string_view host, std::string_view target) const {
  const std::string name = lowerCase(host.substr(0, host.find(':')));
  const auto found = by_host_.find(name);
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const TrafficRoute* route : found->second) {
    if (path.substr(0, route->path_prefix.size()) == route->path_prefix) {
      return route;
    }
  }
  return nullptr;
}

const std::string& chooseService(const TrafficRoute& route, double draw) {
  std::int64_t total = 0;
  for (const WeightedService& part : route.split) {
    total += part.weight_millionths;
  }
  auto left = static_cast<std::int64_t>(draw * static_cast<double>(total));
  const WeightedService* last = &route.split.front();
  for (const WeightedService& part : route.split) {
    if (part.weight_millionths == 0) {
      continue;
    }
    last = &part;
    if (left < part.weight_millionths) {
      break;
    }
    left -= part.weight_millionths;
  }
  return last->service;
}

}  // namespace ramppond
