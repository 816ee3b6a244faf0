#include "core/retries/call_attribution.h"

#include <algorithm>
#include <utility>

#include "core/retries/root_estimate.h"

namespace ramppond {
namespace {

// Deadlines are rounded to milliseconds at two connections. With a wider tolerance more runs match
// by chance.
constexpr auto equal_deadline_tolerance = milliseconds(3);
// A server may count a request's time from a later moment than the proxy, so its calls may have a
// deadline this much later. With a wider tolerance client requests are taken for calls.
constexpr auto later_deadline_tolerance = milliseconds(10);
// Weight of one request in the smoothed share of client requests.
constexpr double client_share_weight = 1.0 / 32;
// Above this share, all requests of a route count as client requests.
constexpr double majority_share = 0.5;
// A deadline may match a run by chance. A route counts as a caller once it has this many attributed
// calls and they are this share of all attributed calls of the callee.
constexpr std::uint32_t min_caller_calls = 3;
constexpr double min_caller_share = 0.02;
// Maximum number of routes that are kept. Bounds memory.
constexpr std::size_t max_routes = 1024;
// The maximum number of calls per run is multiplied by this at the end of each run, so that it
// follows a route that makes fewer calls than before within some hundred runs.
constexpr double calls_per_run_decay = 0.998;
constexpr double rounding = 0.5;

auto is_equal(TimePoint left, TimePoint right) -> bool {
  return left <= right + equal_deadline_tolerance && left >= right - equal_deadline_tolerance;
}

// Returns whether a run with this deadline ends too early to have made a call with `call_deadline`.
auto ends_before_call(TimePoint run_deadline, TimePoint call_deadline) -> bool {
  return run_deadline + later_deadline_tolerance < call_deadline;
}

// Finds the common route of a set of runs.
class single_route {
 public:
  void add(const std::string& route) {
    this->several = this->several || (this->last != nullptr && *this->last != route);
    this->last = &route;
  }
  [[nodiscard]] auto empty() const -> bool { return this->last == nullptr; }
  // nullptr if there are no runs or several routes.
  [[nodiscard]] auto get() const -> const std::string* {
    return this->several ? nullptr : this->last;
  }

 private:
  const std::string* last = nullptr;
  bool several = false;
};

}  // namespace

void call_attribution::on_begun(run_id id, const std::string& route, TimePoint deadline, bool retry,
                                std::optional<request_root> root) {
  this->runs[id] = {route, deadline, retry, 0, std::move(root)};
}

void call_attribution::on_ended(run_id id, bool whole) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  if (whole) {
    this->learn_calls_per_run(found->second);
  }
  this->runs.erase(found);
}

// Some calls of a run may have been attributed to other runs, so the maximum of recent runs of the
// route is taken as the number of calls that each run makes.
void call_attribution::learn_calls_per_run(const run& ended) {
  const bool known = this->calls_per_run.count(ended.route) > 0;
  if (!known && this->calls_per_run.size() >= max_routes) {
    return;
  }
  auto& max_calls = this->calls_per_run[ended.route];
  max_calls = std::max<double>(max_calls * calls_per_run_decay, ended.calls);
}

void call_attribution::attribute_to_run(TimePoint deadline, attributed_request& request) {
  run* only = nullptr;
  auto matching = std::size_t(0);
  auto root = root_estimate();
  for (auto& [id, r] : this->runs) {
    if (!is_equal(r.deadline, deadline)) {
      continue;
    }
    only = &r;
    ++matching;
    request.of_retry = request.of_retry || r.retry;
    root.add(r.root);
  }
  request.root = root.result();
  if (matching != 1) {
    return;
  }
  ++only->calls;
  const auto known = this->calls_per_run.find(only->route);
  if (known != this->calls_per_run.end()) {
    const auto all = static_cast<std::uint32_t>(known->second + rounding);
    request.remaining_calls = all - std::min(all, only->calls);
  }
}

// A server may give a call less time than its run has left. The call then matches no deadline, but
// only runs that outlast it can have made it.
auto call_attribution::root_of_possible_runs(const callee& to, TimePoint deadline) const
    -> std::optional<request_root> {
  auto root = root_estimate();
  for (const auto& [id, r] : this->runs) {
    if (!ends_before_call(r.deadline, deadline) && is_caller(to, r.route)) {
      root.add(r.root);
    }
  }
  return root.result();
}

auto call_attribution::is_caller(const callee& to, const std::string& route) -> bool {
  const auto found = to.callers.find(route);
  return found != to.callers.end() && found->second >= min_caller_calls &&
         found->second >= min_caller_share * static_cast<double>(to.attributed);
}

auto call_attribution::single_caller(TimePoint deadline) const -> const std::string* {
  auto equal = single_route();
  auto possible = single_route();
  for (const auto& [id, r] : this->runs) {
    if (ends_before_call(r.deadline, deadline)) {
      continue;
    }
    possible.add(r.route);
    if (is_equal(r.deadline, deadline)) {
      equal.add(r.route);
    }
  }
  return equal.empty() ? possible.get() : equal.get();
}

auto call_attribution::outlasts_all_runs(TimePoint deadline) const -> bool {
  return std::all_of(this->runs.begin(), this->runs.end(), [&](const auto& entry) {
    return ends_before_call(entry.second.deadline, deadline);
  });
}

auto call_attribution::on_request(const std::string& route, TimePoint deadline)
    -> attributed_request {
  if (this->callees.size() >= max_routes && this->callees.count(route) == 0) {
    this->callees.clear();
  }
  const bool outlasts_all = this->outlasts_all_runs(deadline);
  auto& callee = this->callees[route];
  const double sample = outlasts_all ? 1 : 0;
  callee.client_share += (sample - callee.client_share) * (callee.seen ? client_share_weight : 1);
  callee.seen = true;
  if (outlasts_all || callee.client_share > majority_share) {
    return {};
  }
  auto request = attributed_request{request_origin::server_or_unknown};
  this->attribute_to_run(deadline, request);
  if (!request.root) {
    request.root = this->root_of_possible_runs(callee, deadline);
  }
  if (const auto* caller = this->single_caller(deadline)) {
    ++callee.callers[*caller];
    ++callee.attributed;
  }
  return request;
}

auto call_attribution::comes_from_clients(const std::string& route) const -> bool {
  const auto found = this->callees.find(route);
  return found != this->callees.end() && found->second.client_share > majority_share;
}

auto call_attribution::calls_of(const std::string& route) const -> std::vector<std::string> {
  auto calls = std::vector<std::string>();
  for (const auto& [name, callee] : this->callees) {
    if (callee.client_share <= majority_share && is_caller(callee, route)) {
      calls.push_back(name);
    }
  }
  return calls;
}

}  // namespace ramppond
