// Simulates call trees of several callers over one scarce service in virtual time: arrivals, the
// edge proxies that shed, the servers' admission and the reports in their answers.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "core/admission/downstream_overload.h"
#include "core/admission/patience.h"
#include "core/admission/server_admission.h"
#include "core/admission/share_shedding.h"
#include "core/answers/front_shedding.h"
#include "core/random.h"

namespace ramppond {

struct fleet_caller {
  std::string name;
  std::uint32_t rank = 0;
  double per_second = 0;  // trees
  double growth = 1;      // of the volume from fleet_plan::growth_at
  int names = 1;          // each tree is of one of so many callers
  int proxy = -1;         // where its trees begin; any if negative
  bool has_root = true;   // else its calls are of unknown origin
};

struct fleet_plan {
  std::vector<fleet_caller> callers;
  bool server_shares = true;  // fair shares in the servers' queues
  bool edge_shares = true;    // the excess that servers report is shed at the edge
  std::size_t servers = 1;
  std::size_t proxies = 1;
  int calls = 4;  // of a tree, sequential, at the scarce service
  Duration report_delay = milliseconds(5);
  double report_loss = 0;            // share of reports lost
  TimePoint restart_at{0};           // proxy 0 restarts then, if not 0
  TimePoint growth_at = seconds(5);  // earlier trees are not counted
  Duration length = seconds(30);
};

struct fleet_count {
  int begun = 0;
  int shed = 0;     // at the edge
  int refused = 0;  // at a server, after work was done for the tree or not
  int complete = 0;
  int late = 0;  // of complete: later than the goal

  [[nodiscard]] auto share() const -> double {
    return this->begun == 0 ? 1 : static_cast<double>(this->complete) / this->begun;
  }
};

class share_fleet {
 public:
  static constexpr std::uint32_t slots = 24;
  static constexpr auto call_time = milliseconds(30);
  static constexpr auto goal = milliseconds(1000);
  // Calls per second that one server completes with the slots that its proxy uses.
  static constexpr double calls_per_second = 22 / 0.030;

  explicit share_fleet(fleet_plan plan)
      : plan(std::move(plan)),
        counts(this->plan.callers.size()),
        servers(this->plan.servers),
        edges(this->plan.proxies) {
    for (auto& server : this->servers) {
      server.admission.setSlots(slots);
      server.admission.setFairShares(this->plan.server_shares);
    }
  }

  auto play() -> std::vector<fleet_count> {
    for (std::size_t kind = 0; kind < this->counts.size(); ++kind) {
      this->schedule_arrival(kind);
    }
    if (this->plan.restart_at > TimePoint(0)) {
      this->after(this->plan.restart_at, [this] { this->edges[0] = edge(); });
    }
    while (!this->events.empty() && this->events.top().at < this->plan.length) {
      const auto next = this->events.top();
      this->events.pop();
      this->now = next.at;
      next.run();
    }
    return this->counts;
  }

 private:
  struct event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return this->at != other.at ? this->at > other.at : this->number > other.number;
    }
  };
  struct tree {
    std::size_t kind;
    std::string caller;
    std::size_t edge;
    double refused_share;
    int left;
    TimePoint begun;
    double excess = 0;  // of its caller, when its latest call was judged
  };
  struct edge {
    downstream_overload overload;
    share_shedding shares;
  };
  struct server {
    ServerAdmission admission;
    std::map<AdmissionId, tree> calls;
  };

  void after(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, this->next_event++, std::move(run)});
  }

  void count(const tree& counted, int fleet_count::*number) {
    this->counts[counted.kind].*number += counted.begun >= this->plan.growth_at ? 1 : 0;
  }

  auto exponential(Duration mean) -> Duration {
    const auto drawn = this->random.exponential(static_cast<double>(mean.count()));
    return Duration(static_cast<std::int64_t>(drawn));
  }

  void schedule_arrival(std::size_t kind) {
    const auto& caller = this->plan.callers[kind];
    const auto growth = this->now < this->plan.growth_at ? 1 : caller.growth;
    const auto mean = Duration(static_cast<std::int64_t>(1e6 / (caller.per_second * growth)));
    this->after(this->exponential(mean), [this, kind] {
      this->on_arrival(kind);
      this->schedule_arrival(kind);
    });
  }

  void on_arrival(std::size_t kind) {
    const auto& caller = this->plan.callers[kind];
    auto begun = tree{kind, caller.name, 0, 0, this->plan.calls, this->now};
    if (caller.names > 1) {
      begun.caller += std::to_string(this->random.below(caller.names));
    }
    begun.edge = caller.proxy < 0 ? this->random.below(this->edges.size()) : caller.proxy;
    this->count(begun, &fleet_count::begun);
    auto& at = this->edges[begun.edge];
    if (this->plan.edge_shares) {
      begun.refused_share = at.shares.share("scarce", begun.caller, this->now);
    }
    const auto below = at.overload.of("route", this->now);
    const auto refused = refused_beyond_share(begun.refused_share, this->random) ||
                         refusing_overload(below, this->ranks_after(caller.rank), this->random);
    if (refused) {
      this->count(begun, &fleet_count::shed);
      return;
    }
    this->call(begun);
  }

  auto ranks_after(std::uint32_t rank) const -> std::uint32_t {
    auto less_urgent = std::set<std::uint32_t>();
    for (const auto& other : this->plan.callers) {
      if (other.rank > rank) {
        less_urgent.insert(other.rank);
      }
    }
    return static_cast<std::uint32_t>(less_urgent.size());
  }

  // The less loaded of two servers.
  auto choose() -> std::size_t {
    const auto load = [this](std::size_t at) {
      return this->servers[at].admission.underWay() + this->servers[at].admission.waiting();
    };
    const auto first = this->random.below(this->servers.size());
    const auto second = this->random.below(this->servers.size());
    return load(second) < load(first) ? second : first;
  }

  auto request_of(const tree& caller) -> AdmissionRequest {
    const auto& kind = this->plan.callers[caller.kind];
    auto request = AdmissionRequest{this->next_call++, kind.rank, patience_of(goal, true)};
    request.reference_wait = reference_wait(request.patience, true);
    request.is_call = true;
    request.service_time = Duration(call_time);
    if (kind.has_root) {
      request.root = request_root{kind.rank, true, caller.caller};
    }
    request.calling_service = "calling";
    return request;
  }

  void call(tree caller) {
    const auto at = this->choose();
    auto& server = this->servers[at];
    const auto request = this->request_of(caller);
    const auto verdict = server.admission.offer(request, this->now);
    caller.excess = server.admission.excessOf(request, this->now);
    if (verdict == AdmissionVerdict::kRefuse) {
      this->report(at, caller);
      this->count(caller, &fleet_count::refused);
    } else {
      server.calls[request.id] = caller;
      if (verdict == AdmissionVerdict::kDispatch) {
        this->dispatch(at, request.id);
      }
      this->after(request.patience + Duration(1), [this, at] { this->pump(at); });
    }
    this->pump(at);
  }

  void dispatch(std::size_t at, AdmissionId id) {
    const auto begun = this->now;
    this->after(this->exponential(call_time), [this, at, id, begun] {
      auto& server = this->servers[at];
      server.admission.onFinished(begun, ServerOutcome::kAnswered, this->now, id);
      auto done = server.calls[id];
      server.calls.erase(id);
      this->report(at, done);
      this->pump(at);
      if (--done.left > 0) {
        this->call(done);
      } else {
        this->count(done, &fleet_count::complete);
        if (this->now - done.begun > Duration(goal)) {
          this->count(done, &fleet_count::late);
        }
      }
    });
  }

  void report(std::size_t at, const tree& answered) {
    if (this->random.uniform() < this->plan.report_loss) {
      return;
    }
    const auto& admission = this->servers[at].admission;
    const auto level = admission.shedLevel(this->now);
    const auto current = admission.excessOf(this->request_of(answered), this->now);
    const auto excess = excess_to_report({answered.excess, current}, {});
    this->after(this->plan.report_delay, [this, answered, level, excess] {
      auto& edge = this->edges[answered.edge];
      edge.overload.on_answer("route", {{"scarce", level}}, this->now);
      edge.shares.on_answer("scarce", answered.caller, excess, answered.refused_share, this->now);
    });
  }

  void refuse_waiting(std::size_t at, AdmissionId id) {
    auto& server = this->servers[at];
    this->report(at, server.calls[id]);
    this->count(server.calls[id], &fleet_count::refused);
    server.calls.erase(id);
  }

  void pump(std::size_t at) {
    auto& admission = this->servers[at].admission;
    for (const auto id : admission.takeExpired(this->now)) {
      this->refuse_waiting(at, id);
    }
    for (const auto id : admission.takeEvicted()) {
      this->refuse_waiting(at, id);
    }
    while (const auto id = admission.takeDispatchable(this->now)) {
      this->dispatch(at, *id);
    }
  }

  fleet_plan plan;
  std::vector<fleet_count> counts;
  std::vector<server> servers;
  std::vector<edge> edges;
  Random random{7};
  TimePoint now{0};
  std::priority_queue<event> events;
  std::uint64_t next_event = 0;
  AdmissionId next_call = 1;
};

}  // namespace ramppond
