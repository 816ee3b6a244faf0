#include "lab/deployment.h"

#include <algorithm>
#include <limits>
#include <map>

#include "common/settings.h"

namespace ramppond {
namespace {

constexpr NumberRange kMilliseconds = {0, 60000};
constexpr NumberRange kShare = {0, 1000};
constexpr IntegerRange kCount = {1, 10000};
constexpr IntegerRange kBytes = {0, 1 << 20};

Duration fromMilliseconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1000));
}

// "GET service/path" or "POST service/path".
std::optional<RouteCall> parseRouteCall(const std::string& text) {
  const auto space = text.find(' ');
  const auto slash = text.find('/');
  if (space == std::string::npos || slash == std::string::npos || slash < space) {
    return std::nullopt;
  }
  const std::string method = text.substr(0, space);
  if (method != "GET" && method != "POST") {
    return std::nullopt;
  }
  return RouteCall{text.substr(space + 1, slash - space - 1), text.substr(slash), method == "GET"};
}

Route readRoute(SettingsTable& table) {
  Route route;
  route.path = table.requiredString("path");
  route.work_ms = table.optionalNumber("work_ms", route.work_ms, kMilliseconds);
  route.work_sigma = table.optionalNumber("work_sigma", route.work_sigma, {0, 3});
  route.answer_bytes = static_cast<std::size_t>(table.optionalInteger("answer_bytes", 64, kBytes));
  route.parallel = table.optionalBool("parallel", false);
  for (const std::string& text : table.strings("calls")) {
    const auto call = parseRouteCall(text);
    if (!call) {
      table.reject("calls", "expected \"GET SERVICE/PATH\" or \"POST SERVICE/PATH\"");
      continue;
    }
    route.calls.push_back(*call);
  }
  table.finish();
  return route;
}

ServiceSpec readService(SettingsTable& table) {
  ServiceSpec service;
  service.name = table.requiredString("name");
  service.servers = static_cast<std::uint32_t>(table.requiredInteger("servers", kCount));
  service.slots = static_cast<std::uint32_t>(table.requiredInteger("slots", kCount));
  service.connections =
      static_cast<std::uint32_t>(table.optionalInteger("connections", 110, kCount));
  service.connect_cost = fromMilliseconds(table.optionalNumber("connect_ms", 1, kMilliseconds));
  for (SettingsTable& route : table.tables("route")) {
    service.routes.push_back(readRoute(route));
  }
  table.finish();
  return service;
}

WorkSpec readWork(SettingsTable& table) {
  WorkSpec work;
  work.type.name = table.requiredString("name");
  work.type.service = table.requiredString("service");
  work.type.path_prefix = table.requiredString("path");
  const std::string kind = table.choice("kind", {"lookup", "commit_once", "bulk"});
  work.type.kind = parseWorkKind(kind).value_or(WorkKind::kBulk);
  work.share = table.optionalNumber("share", 1, kShare);
  work.repeat_share = table.optionalNumber("repeat_share", 0, {0, 1});
  work.deadline = fromMilliseconds(table.optionalNumber("deadline_ms", 2000, kMilliseconds));
  table.finish();
  return work;
}

ClassSpec readClass(SettingsTable& table) {
  ClassSpec spec;
  spec.priority_class.name = table.requiredString("name");
  spec.priority_class.weight =
      static_cast<std::uint32_t>(table.optionalInteger("weight", 1, {1, kMaximumClassWeight}));
  spec.priority_class.caller_keys = table.strings("keys");
  spec.share = table.optionalNumber("share", 1, kShare);
  table.finish();
  return spec;
}

// Every call and every work type must lead to a route that exists.
void checkReferences(const Deployment& deployment, SettingsTable& root) {
  const auto exists = [&](const std::string& service, const std::string& path) {
    const ServiceSpec* spec = deployment.findService(service);
    return spec != nullptr && spec->findRoute(path) != nullptr;
  };
  for (const ServiceSpec& service : deployment.services) {
    for (const Route& route : service.routes) {
      for (const RouteCall& call : route.calls) {
        if (!exists(call.service, call.path)) {
          root.reject("service", "expected a route " + call.service + call.path + ", which " +
                                     service.name + route.path + " calls");
        }
      }
    }
  }
  for (const WorkSpec& work : deployment.works) {
    if (!exists(work.type.service, work.type.path_prefix)) {
      root.reject("work", "expected a route " + work.type.service + work.type.path_prefix +
                              " for work " + work.type.name);
    }
  }
}

}  // namespace

const Route* ServiceSpec::findRoute(const std::string& path) const {
  const auto found = std::find_if(routes.begin(), routes.end(),
                                  [&](const Route& route) { return route.path == path; });
  return found == routes.end() ? nullptr : &*found;
}

const ServiceSpec* Deployment::findService(const std::string& service) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const ServiceSpec& spec) { return spec.name == service; });
  return found == services.end() ? nullptr : &*found;
}

std::vector<double> Deployment::slotMs(const std::string& service, const std::string& path) const {
  std::vector<double> total(services.size(), 0);
  const ServiceSpec* spec = findService(service);
  const Route* route = spec == nullptr ? nullptr : spec->findRoute(path);
  if (route == nullptr) {
    return total;
  }
  // A call holds its slot while the calls below it run.
  double held = route->work_ms;
  double longest = 0;
  double sum = 0;
  for (const RouteCall& call : route->calls) {
    const std::vector<double> below = slotMs(call.service, call.path);
    const double round_trip = static_cast<double>(zone_delay.count()) * 2 / 1000;
    double duration = 0;
    for (std::size_t index = 0; index < services.size(); ++index) {
      total[index] += below[index];
      if (services[index].name == call.service) {
        duration = below[index] + round_trip;
      }
    }
    longest = std::max(longest, duration);
    sum += duration;
  }
  held += route->parallel ? longest : sum;
  for (std::size_t index = 0; index < services.size(); ++index) {
    if (services[index].name == service) {
      total[index] += held;
    }
  }
  return total;
}

double Deployment::capacityPerSecond() const {
  std::vector<double> per_request(services.size(), 0);
  double shares = 0;
  for (const WorkSpec& work : works) {
    shares += work.share;
  }
  for (const WorkSpec& work : works) {
    const std::vector<double> used = slotMs(work.type.service, work.type.path_prefix);
    for (std::size_t index = 0; index < services.size(); ++index) {
      per_request[index] += used[index] * work.share / shares;
    }
  }
  double capacity = std::numeric_limits<double>::max();
  for (std::size_t index = 0; index < services.size(); ++index) {
    if (per_request[index] > 0) {
      const double slots = services[index].servers * services[index].slots;
      capacity = std::min(capacity, slots * 1000 / per_request[index]);
    }
  }
  return capacity;
}

std::string Deployment::mostCalledService() const {
  std::map<std::string, int> called;
  for (const ServiceSpec& service : services) {
    for (const Route& route : service.routes) {
      for (const RouteCall& call : route.calls) {
        called[call.service] += 1;
      }
    }
  }
  std::string most = services.back().name;
  for (const auto& [service, count] : called) {
    most = count > called[most] ? service : most;
  }
  return most;
}

std::vector<ConfigurationChange> Deployment::initialChanges() const {
  std::vector<ConfigurationChange> changes;
  for (const ClassSpec& spec : classes) {
    ConfigurationChange change;
    change.type = ChangeType::kSetClass;
    change.priority_class = spec.priority_class;
    changes.push_back(std::move(change));
  }
  for (const WorkSpec& work : works) {
    ConfigurationChange change;
    change.type = ChangeType::kSetWorkType;
    change.work_type = work.type;
    changes.push_back(std::move(change));
  }
  ConfigurationChange allowance;
  allowance.type = ChangeType::kSetRetryAllowance;
  allowance.retry_allowance = retry_allowance;
  changes.push_back(std::move(allowance));
  return changes;
}

namespace {

Deployment deploymentOf(SettingsTable& root) {
  Deployment deployment;
  deployment.name = root.requiredString("name");
  deployment.zones = root.strings("zones");
  if (deployment.zones.empty()) {
    root.reject("zones", "expected at least one zone");
  }
  deployment.zone_delay = fromMilliseconds(root.optionalNumber("zone_delay_ms", 0, kMilliseconds));
  deployment.client_delay =
      fromMilliseconds(root.optionalNumber("client_delay_ms", 0, kMilliseconds));
  deployment.control_members =
      static_cast<std::uint32_t>(root.optionalInteger("control_members", 3, {1, 9}));
  deployment.retry_allowance = static_cast<std::uint32_t>(
      root.optionalInteger("retry_allowance", kDefaultRetryAllowance, {0, 16}));
  for (SettingsTable& table : root.tables("service")) {
    deployment.services.push_back(readService(table));
  }
  for (SettingsTable& table : root.tables("work")) {
    deployment.works.push_back(readWork(table));
  }
  for (SettingsTable& table : root.tables("class")) {
    deployment.classes.push_back(readClass(table));
  }
  if (deployment.services.empty()) {
    root.reject("service", "expected at least one [[service]]");
  }
  if (deployment.works.empty()) {
    root.reject("work", "expected at least one [[work]]");
  }
  checkReferences(deployment, root);
  return deployment;
}

}  // namespace

std::optional<Deployment> readDeployment(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, deploymentOf);
}

}  // namespace ramppond
