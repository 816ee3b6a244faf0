// Simulates clients of an overloaded service that return after a refusal, in virtual time, with
// return times by the schedule and, as the control, by core/answers/retry_after.h (the current
// rule). Guards against a schedule that refuses clients more often or serves fewer of them.
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "core/admission/downstream_overload.h"
#include "core/admission/patience.h"
#include "core/admission/server_admission.h"
#include "core/answers/retry_after.h"
#include "core/answers/return_schedule.h"
#include "core/answers/return_shedding.h"
#include "core/random.h"

namespace ramppond {
namespace {

constexpr std::size_t server_count = 3;
constexpr std::uint32_t slots = 20;  // of which a proxy uses 18
constexpr auto run_time = Duration(milliseconds(300));
// A client's latency goal, and the deadline of the route with that goal.
constexpr auto shortest_goal = Duration(seconds(1));
constexpr auto longest_goal = Duration(seconds(3));
constexpr auto shortest_deadline = Duration(milliseconds(2500));
constexpr auto longest_deadline = Duration(seconds(6));
constexpr auto report_delay = Duration(milliseconds(5));
constexpr double normal_load = 0.7;
constexpr auto overload_begin = TimePoint(seconds(5));
constexpr auto last_arrival = Duration(seconds(6));  // after the end of the overload
const auto route = std::string("r");
const auto scarce = scarce_service{"scarce", 0};

/// What clients do with a Retry-After of more than a third of their remaining time.
enum class long_wait : std::uint8_t { gives_up, returns_at_a_third };

struct load_case {
  const char* name;
  double load;                  // offered during the overload, in capacities of the service
  Duration length;              // of the overload
  std::size_t proxies = 20;     // 9 requests a second of the capacity for each
  std::size_t loaded_part = 1;  // 1 of this many proxies has the load, the others the usual
  std::array<double, 2> speed = {1, 1};  // of the servers in both halves of the overload
  double impatient = 0;                  // share of clients that return at once and often
  double absent = 0;                     // share of clients that never return
  bool restart = false;                  // of all proxies in the middle of the overload
  long_wait longer = long_wait::gives_up;
};

// Keeps the name of a test the same in every run.
void PrintTo(const load_case& tested, std::ostream* out) {
  *out << tested.name;
}

struct client {
  std::size_t number = 0;
  std::size_t proxy = 0;
  TimePoint begun{0};
  Duration goal{0};
  TimePoint deadline{0};
  bool impatient = false;
  bool absent = false;
  int refusals = 0;
  std::size_t servers_tried = 0;
};

struct client_counts {
  int clients = 0;
  int served = 0;
  int served_in_overload = 0;  // except its first two seconds, in which the shed level rises
  int within_goal = 0;
  int refused_twice = 0;
  int impatient = 0;
  int impatient_served = 0;
};

class return_run {
 public:
  return_run(const load_case& tested, bool scheduled, std::uint64_t seed)
      : tested(tested),
        scheduled(scheduled),
        arrivals(seed),
        random(seed + 1000),
        proxies(tested.proxies) {
    for (auto& server : this->servers) {
      server.setSlots(slots);
    }
  }

  auto play() -> client_counts {
    for (std::size_t proxy = 0; proxy < this->tested.proxies; ++proxy) {
      this->schedule_client(proxy);
    }
    if (this->tested.restart) {
      this->after(this->middle(), [this] { this->restart(); });
    }
    while (!this->events.empty()) {
      const auto next = this->events.top();
      this->events.pop();
      this->now = next.at;
      next.run();
      this->pump();
    }
    return this->counts;
  }

 private:
  using client_ref = std::shared_ptr<client>;
  struct event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
  };
  struct proxy_side {
    downstream_overload overload;
    return_schedule returns;
  };
  struct waiting_request {
    client_ref of;
    std::size_t server;
  };

  void after(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, this->next_event++, std::move(run)});
  }
  [[nodiscard]] auto overload_end() const -> TimePoint {
    return overload_begin + this->tested.length;
  }
  [[nodiscard]] auto middle() const -> TimePoint {
    return overload_begin + this->tested.length / 2;
  }
  void restart() {
    for (auto& proxy : this->proxies) {
      proxy = proxy_side();
    }
  }
  [[nodiscard]] auto in_overload() const -> bool {
    return this->now >= overload_begin && this->now < this->overload_end();
  }
  static auto between(Duration low, Duration high, double part) -> Duration {
    return low +
           Duration(static_cast<std::int64_t>(static_cast<double>((high - low).count()) * part));
  }

  void schedule_client(std::size_t proxy) {
    const double per_second = server_count * 18 / std::chrono::duration<double>(run_time).count();
    const bool loaded = this->in_overload() && proxy % this->tested.loaded_part == 0;
    const double load = loaded ? this->tested.load : normal_load;
    const double mean_us = 1e6 / (per_second * load / static_cast<double>(this->tested.proxies));
    this->after(Duration(static_cast<std::int64_t>(this->arrivals.exponential(mean_us))),
                [this, proxy] {
                  if (this->now > this->overload_end() + last_arrival) {
                    return;
                  }
                  this->begin_client(proxy);
                  this->schedule_client(proxy);
                });
  }

  void begin_client(std::size_t proxy) {
    auto begun = std::make_shared<client>();
    begun->number = static_cast<std::size_t>(this->counts.clients++);
    begun->proxy = proxy;
    begun->begun = this->now;
    const double length = this->arrivals.uniform();
    begun->goal = between(shortest_goal, longest_goal, length);
    begun->deadline = this->now + between(shortest_deadline, longest_deadline, length);
    begun->absent = this->arrivals.uniform() < this->tested.absent;
    begun->impatient = this->arrivals.uniform() < this->tested.impatient;
    this->counts.impatient += begun->impatient ? 1 : 0;
    this->send(begun);
  }

  auto identity(const client& of) -> client_identity {
    return {std::to_string(of.number), of.deadline};
  }

  void send(const client_ref& of) {
    auto& proxy = this->proxies[of->proxy];
    auto arrival = return_arrival::new_request;
    if (this->scheduled) {
      arrival = proxy.returns.on_arrival(this->identity(*of), this->now);
    }
    const auto below = proxy.overload.of(route, this->now);
    if (refusing_overload_of(arrival, below, 0, this->random) != nullptr) {
      this->refuse(of);
      return;
    }
    of->servers_tried = 0;
    this->attempt(of, this->random.below(server_count));
  }

  void attempt(const client_ref& of, std::size_t server) {
    const auto id = this->next_id++;
    const auto patience = patience_of(of->goal, false);
    const auto verdict =
        this->servers[server].offer({id, 0, patience, reference_wait(patience, false)}, this->now);
    if (verdict == AdmissionVerdict::kRefuse) {
      this->on_busy(of, server);
      return;
    }
    this->requests[id] = {of, server};
    if (verdict == AdmissionVerdict::kDispatch) {
      this->dispatch(id);
    }
  }

  void on_busy(const client_ref& of, std::size_t server) {
    this->report(of->proxy, server);
    if (++of->servers_tried < server_count) {
      this->attempt(of, (server + 1) % server_count);
    } else {
      this->refuse(of);
    }
  }

  void dispatch(AdmissionId id) {
    const auto begun = this->now;
    const double speed =
        this->in_overload() ? this->tested.speed.at(this->now < this->middle() ? 0 : 1) : 1;
    const auto usual_us = static_cast<double>(run_time.count()) * (0.5 + this->random.uniform());
    this->after(Duration(static_cast<std::int64_t>(usual_us / speed)), [this, id, begun] {
      const auto done = this->requests[id];
      this->requests.erase(id);
      this->servers[done.server].onFinished(begun, ServerOutcome::kAnswered, this->now);
      this->report(done.of->proxy, done.server);
      this->serve(*done.of);
    });
  }

  void report(std::size_t proxy, std::size_t server) {
    const auto level = this->servers[server].shedLevel(this->now);
    this->after(report_delay, [this, proxy, level] {
      this->proxies[proxy].overload.on_answer(route, {{scarce.name, level}}, this->now);
    });
  }

  void serve(const client& of) {
    if (this->scheduled) {
      this->proxies[of.proxy].returns.on_served(scarce, run_time, this->now);
    }
    if (this->now > of.deadline) {
      return;
    }
    this->counts.served += 1;
    const bool settled = this->now > overload_begin + seconds(2);
    this->counts.served_in_overload += settled && this->in_overload() ? 1 : 0;
    this->counts.impatient_served += of.impatient ? 1 : 0;
    this->counts.within_goal += this->now - of.begun <= of.goal ? 1 : 0;
  }

  auto retry_after(const client& of) -> Duration {
    const auto by_rule =
        add_retry_after_jitter(min_retry_after_for(of.goal), {this->random.uniform()});
    if (!this->scheduled) {
      return by_rule;
    }
    const auto verdict =
        this->proxies[of.proxy].returns.on_refused(scarce, this->identity(of), this->now);
    if (const auto* reserved = std::get_if<reserved_return>(&verdict)) {
      return reserved->after;
    }
    if (const auto* late = std::get_if<late_capacity>(&verdict)) {
      return late->after;
    }
    return by_rule;
  }

  void refuse(const client_ref& of) {
    of->refusals += 1;
    this->counts.refused_twice += of->refusals == 2 ? 1 : 0;
    auto wait = this->retry_after(*of);
    const auto usable = (of->deadline - this->now) / 3;
    if (of->impatient) {
      wait = std::min<Duration>(usable, milliseconds(100));
    }
    if (wait > usable && this->tested.longer == long_wait::returns_at_a_third) {
      wait = usable;
    }
    if (of->absent || wait > usable || wait < milliseconds(50)) {
      return;
    }
    this->after(wait + between(Duration(0), milliseconds(5), this->random.uniform()),
                [this, of] { this->send(of); });
  }

  void pump() {
    for (std::size_t server = 0; server < server_count; ++server) {
      for (const auto id : this->servers[server].takeExpired(this->now)) {
        const auto of = this->requests[id].of;
        this->requests.erase(id);
        this->on_busy(of, server);
      }
      while (const auto id = this->servers[server].takeDispatchable(this->now)) {
        this->dispatch(*id);
      }
    }
  }

  const load_case& tested;
  bool scheduled;
  Random arrivals;  // the same clients with and without the schedule
  Random random;
  std::vector<proxy_side> proxies;
  std::array<ServerAdmission, server_count> servers;
  std::map<AdmissionId, waiting_request> requests;
  std::priority_queue<event> events;
  client_counts counts;
  TimePoint now{0};
  std::uint64_t next_event = 0;
  AdmissionId next_id = 1;
};

auto operator+(client_counts left, const client_counts& right) -> client_counts {
  left.clients += right.clients;
  left.served += right.served;
  left.served_in_overload += right.served_in_overload;
  left.within_goal += right.within_goal;
  left.refused_twice += right.refused_twice;
  left.impatient += right.impatient;
  left.impatient_served += right.impatient_served;
  return left;
}

auto share(int part, int whole) -> double {
  return whole == 0 ? 1 : static_cast<double>(part) / whole;
}

class return_load : public testing::TestWithParam<load_case> {
 protected:
  void SetUp() override {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      this->control = this->control + return_run(GetParam(), false, seed).play();
      this->schedule = this->schedule + return_run(GetParam(), true, seed).play();
    }
    print("control", this->control);
    print("schedule", this->schedule);
  }
  static void print(const char* rule, const client_counts& counts) {
    std::printf(
        "%s: %d clients, %d served, %d in the overload, %d within the goal, %d refused twice\n",
        rule, counts.clients, counts.served, counts.served_in_overload, counts.within_goal,
        counts.refused_twice);
  }

  client_counts control;  // by the current rule
  client_counts schedule;
};

// The capacity rises or falls after reservations were made, or they are lost with their proxy.
const auto failures =
    testing::Values(load_case{"capacity_falls", 2.4, seconds(14), 20, 1, {1, 0.6}},
                    load_case{"capacity_rises", 2.4, seconds(14), 20, 1, {0.6, 1}},
                    load_case{"restart", 2.4, seconds(14), 20, 1, {1, 1}, 0, 0, true});
const auto loads =
    testing::Values(load_case{"overload", 2.4, seconds(14)},
                    load_case{"overload_at_many_proxies", 2.4, seconds(14), 60},
                    load_case{"third_of_proxies", 3 * normal_load, seconds(10), 21, 3},
                    load_case{"slow_service", normal_load, seconds(8), 20, 1, {0.55, 0.55}});
const auto name_of = [](const auto& info) { return std::string(info.param.name); };

// The requirement is for 2.4 times the capacity, and the other loads hold it too except one: at 1.3
// times (slow_service), where either rule serves nearly all clients, the schedule serves slightly
// fewer (design 0015, part E). Guards against a larger loss.
constexpr double accepted_loss_at_low_overload = 0.006;

class return_times_under_load : public return_load {};

TEST_P(return_times_under_load, halve_second_refusals_and_serve_no_fewer) {
  EXPECT_LE(this->schedule.refused_twice * 2, this->control.refused_twice);
  const double accepted = GetParam().load < 1 ? 1 - accepted_loss_at_low_overload : 1;
  EXPECT_GE(this->schedule.served, this->control.served * accepted);
  EXPECT_GE(this->schedule.within_goal, this->control.within_goal * accepted);
}

INSTANTIATE_TEST_SUITE_P(loads, return_times_under_load, loads, name_of);
INSTANTIATE_TEST_SUITE_P(failures, return_times_under_load, failures, name_of);

// Equal totals differ by this much, since the service times are random.
constexpr double noise = 0.006;
// After the overload nobody is left who would return to the capacity that is idle then; by the
// current rule some clients still are.
constexpr double accepted_loss_after_overload = 0.015;

class absent_clients : public return_load {};

// Reserved capacity that is not used goes to new requests.
TEST_P(absent_clients, leave_no_capacity_idle_during_the_overload) {
  EXPECT_LE(this->schedule.refused_twice * 2, this->control.refused_twice);
  EXPECT_GE(this->schedule.served_in_overload, this->control.served_in_overload * (1 - noise));
  EXPECT_GE(this->schedule.served, this->control.served * (1 - accepted_loss_after_overload));
  EXPECT_GE(this->schedule.within_goal, this->control.within_goal);
}

INSTANTIATE_TEST_SUITE_P(loads, absent_clients,
                         testing::Values(load_case{
                             "half_never_return", 2.4, seconds(14), 20, 1, {1, 1}, 0, 0.5}),
                         name_of);

class impatient_clients : public return_load {};

// Clients that ignore their time must not take what others waited for.
TEST_P(impatient_clients, gain_nothing_and_others_lose_nothing) {
  const auto patient_share = [](const client_counts& counts) {
    return share(counts.served - counts.impatient_served, counts.clients - counts.impatient);
  };
  const auto impatient_share = [](const client_counts& counts) {
    return share(counts.impatient_served, counts.impatient);
  };
  std::printf("served of patient %.3f, control %.3f; of impatient %.3f, control %.3f\n",
              patient_share(this->schedule), patient_share(this->control),
              impatient_share(this->schedule), impatient_share(this->control));
  EXPECT_LT(impatient_share(this->schedule), impatient_share(this->control));
  EXPECT_GT(patient_share(this->schedule), patient_share(this->control));
  EXPECT_GE(this->schedule.served, this->control.served * (1 - noise));
}

INSTANTIATE_TEST_SUITE_P(loads, impatient_clients,
                         testing::Values(load_case{
                             "overload", 2.4, seconds(14), 20, 1, {1, 1}, 0.3}),
                         name_of);

class clients_that_shorten_their_wait : public return_load {};

// A client that cannot be served in time and returns nevertheless is refused twice by any rule, so
// only the others can gain.
TEST_P(clients_that_shorten_their_wait, more_are_served) {
  EXPECT_GT(this->schedule.served, this->control.served);
  EXPECT_LT(this->schedule.refused_twice, this->control.refused_twice);
}

const auto shortening = load_case{
    "overload", 2.4, seconds(14), 20, 1, {1, 1}, 0, 0, false, long_wait::returns_at_a_third};
INSTANTIATE_TEST_SUITE_P(loads, clients_that_shorten_their_wait, testing::Values(shortening),
                         name_of);

}  // namespace
}  // namespace ramppond
