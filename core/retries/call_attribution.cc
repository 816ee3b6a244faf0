#include "core/retries/call_attribution.h"

#include <algorithm>

namespace ramppond {
namespace {

// Deadlines cross a connection as whole milliseconds, twice.
constexpr auto equal_deadlines = milliseconds(3);
// A server may count its time from a moment later than ours.
constexpr auto later_deadline = milliseconds(10);
constexpr double smoothing = 1.0 / 32;
constexpr double mostly = 0.5;
// A deadline may match another one by chance.
constexpr std::uint32_t least_calls = 3;
constexpr double least_share = 0.02;
// Configurations of the described sizes have a few hundred routes.
constexpr std::size_t most_routes = 1024;
// A route that makes fewer calls than before is known within some hundred runs.
constexpr double most_forgotten = 0.998;

}  // namespace

void call_attribution::on_begun(run_id id, const std::string& route, TimePoint deadline,
                                bool repeat) {
  this->runs[id] = {route, deadline, repeat, 0};
}

// Some calls of a run may have been taken for another's: the most that runs of
// the route made of late are what they make.
void call_attribution::on_ended(run_id id, bool whole) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  if (whole && (this->calls_a_run.size() < most_routes ||
                this->calls_a_run.count(found->second.route) > 0)) {
    auto& most = this->calls_a_run[found->second.route];
    most = std::max<double>(most * most_forgotten, found->second.calls);
  }
  this->runs.erase(found);
}

void call_attribution::attribute_to_run(TimePoint deadline, attributed_request& request) {
  run* only = nullptr;
  auto fitting = std::size_t(0);
  for (auto& [id, r] : this->runs) {
    if (r.deadline > deadline + equal_deadlines || r.deadline < deadline - equal_deadlines) {
      continue;
    }
    only = &r;
    ++fitting;
    request.of_repeat = request.of_repeat || r.repeat;
  }
  if (fitting != 1) {
    return;
  }
  ++only->calls;
  const auto known = this->calls_a_run.find(only->route);
  if (known != this->calls_a_run.end()) {
    const auto all = static_cast<std::uint32_t>(known->second + mostly);
    request.calls_to_come = all - std::min(all, only->calls);
  }
}

// The route of all runs that may have made a call with this deadline, if it is
// one route.
auto call_attribution::only_caller(TimePoint deadline) const -> const std::string* {
  const std::string* exact = nullptr;
  const std::string* possible = nullptr;
  bool several_exact = false;
  bool several_possible = false;
  for (const auto& [id, run] : this->runs) {
    if (run.deadline + later_deadline < deadline) {
      continue;
    }
    several_possible = several_possible || (possible != nullptr && *possible != run.route);
    possible = &run.route;
    if (run.deadline > deadline + equal_deadlines) {
      continue;
    }
    if (run.deadline < deadline - equal_deadlines) {
      continue;
    }
    several_exact = several_exact || (exact != nullptr && *exact != run.route);
    exact = &run.route;
  }
  if (exact != nullptr) {
    return several_exact ? nullptr : exact;
  }
  return several_possible ? nullptr : possible;
}

auto call_attribution::on_request(const std::string& route, TimePoint deadline)
    -> attributed_request {
  if (this->callees.size() >= most_routes && this->callees.count(route) == 0) {
    this->callees.clear();
  }
  const bool outlives_all = std::all_of(
      this->runs.begin(), this->runs.end(),
      [&](const auto& entry) { return entry.second.deadline + later_deadline < deadline; });
  auto& callee = this->callees[route];
  const double sample = outlives_all ? 1 : 0;
  callee.client_share += (sample - callee.client_share) * (callee.seen ? smoothing : 1);
  callee.seen = true;
  if (outlives_all || callee.client_share > mostly) {
    return {};
  }
  auto request = attributed_request{request_origin::server_or_unknown};
  this->attribute_to_run(deadline, request);
  if (const auto* caller = this->only_caller(deadline)) {
    ++callee.callers[*caller];
    ++callee.attributed;
  }
  return request;
}

auto call_attribution::comes_from_clients(const std::string& route) const -> bool {
  const auto found = this->callees.find(route);
  return found != this->callees.end() && found->second.client_share > mostly;
}

auto call_attribution::calls_of(const std::string& route) const -> std::vector<std::string> {
  auto calls = std::vector<std::string>();
  for (const auto& [name, callee] : this->callees) {
    const auto found = callee.callers.find(route);
    if (found == callee.callers.end() || callee.client_share > mostly) {
      continue;
    }
    const bool enough = found->second >= least_calls &&
                        found->second >= least_share * static_cast<double>(callee.attributed);
    if (enough) {
      calls.push_back(name);
    }
  }
  return calls;
}

}  // namespace ramppond
