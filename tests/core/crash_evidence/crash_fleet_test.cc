// Hundreds of proxies beside the servers of one service, in virtual time: some
// requests crash the servers that run them and come again at any proxy, all
// others are served. The proxies report to each other through three members of
// the control group, a few tenths of a second late.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <ostream>
#include <string>

#include "core/crash_evidence/crash_ledger.h"
#include "core/crash_evidence/evidence_registry.h"
#include "core/crash_evidence/isolation_queue.h"
#include "core/crash_evidence/quarantine_placement.h"
#include "core/overloaded.h"
#include "core/random.h"

namespace ramppond {
namespace {

constexpr auto step = milliseconds(5);
constexpr auto work = milliseconds(120);
constexpr auto work_until_crash = milliseconds(90);
constexpr auto time_to_restart = seconds(3);
constexpr auto time_left = seconds(5);
constexpr auto poll_interval = milliseconds(20);
constexpr auto pull_interval = milliseconds(150);
constexpr auto members = std::size_t(3);
constexpr auto report_delay = seconds(3);  // the longest that it may take
constexpr auto popular_requests = std::uint64_t(50);

auto is_harmful(const request_digest& digest) -> bool {
  return digest.high == 1;
}

struct fleet_options {
  std::size_t proxies = 200;
  std::uint64_t harmful = 1;       // different ones
  double harmful_a_second = 4;     // tries, of all
  double others_a_second = 400;    // tries, half of them of popular requests
  bool reports = true;             // proxies report to each other
  std::size_t killed_at_once = 0;  // for another reason, at 2 s
  std::size_t most_crashes = 0;    // of servers: what is under way while reports travel
};

struct fleet_outcome {
  std::size_t crashes = 0;     // of servers, by requests
  std::size_t late_sends = 0;  // the most of one request, after its third crash and report_delay
  std::size_t blocked_others = 0;  // blocked at some proxy when the run is over
  std::size_t others = 0;
  std::size_t others_refused = 0;  // by a block
};

struct run_of_request {
  request_digest digest;
  isolation_queue::request_id id = 0;
  TimePoint begun{0};
  bool retry = false;
  bool isolated = false;
};

struct waiting_run {
  run_of_request run;
  bool goes_on_at_last = false;
};

struct simulated_proxy {
  std::string address;
  crash_ledger ledger;
  isolation_queue isolation;
  std::map<isolation_queue::request_id, waiting_run> waiting;
  std::vector<run_of_request> running;
  std::uint64_t starts = 1;
  TimePoint back{0};
  std::uint64_t known = 0;  // of its member's changes

  auto instance() const -> server_instance {
    return {this->address + "#" + std::to_string(this->starts), "templates"};
  }
};

class simulated_fleet {
 public:
  simulated_fleet(const fleet_options& options, std::uint64_t seed)
      : options(options), random(seed) {
    for (auto i = std::size_t(0); i < options.proxies; ++i) {
      this->proxies.push_back(std::make_unique<simulated_proxy>());
      this->proxies.back()->address = "daemon-" + std::to_string(i);
    }
  }

  auto play(Duration length) -> fleet_outcome {
    for (const auto end = this->now + length; this->now < end; this->now += step) {
      this->arrive();
      for (const auto& proxy : this->proxies) {
        this->advance(*proxy);
      }
      this->pass_reports();
      this->kill_if_due();
    }
    this->outcome.blocked_others = this->count_blocked_others();
    for (const auto& [digest, sends] : this->late) {
      this->outcome.late_sends = std::max(this->outcome.late_sends, sends);
    }
    return this->outcome;
  }

 private:
  auto occurs(double a_second) -> bool {
    return this->random.uniform() < a_second * std::chrono::duration<double>(step).count();
  }
  auto up(const simulated_proxy& proxy) const -> bool { return proxy.back <= this->now; }
  auto ready_proxies() const -> std::vector<std::string> {
    auto ready = std::vector<std::string>();
    for (const auto& proxy : this->proxies) {
      if (this->up(*proxy)) {
        ready.push_back(proxy->address);
      }
    }
    return ready;
  }

  void arrive() {
    if (this->occurs(this->options.harmful_a_second)) {
      this->send({1, this->random.below(this->options.harmful)}, false);
    }
    const auto others = this->options.others_a_second * std::chrono::duration<double>(step).count();
    for (auto due = others; due > 0; due -= 1) {
      if (this->random.uniform() >= due) {
        continue;
      }
      const auto popular = this->random.below(2) == 0;
      this->outcome.others += 1;
      this->send(popular ? request_digest{2, this->random.below(popular_requests)}
                         : request_digest{3, this->next_id},
                 false);
    }
  }

  // To a server that is up, drawn by lot; a few are asked.
  void send(const request_digest& digest, bool retry) {
    for (auto asked = 0; asked < 6; ++asked) {
      auto& proxy = *this->proxies[this->random.below(this->proxies.size())];
      if (this->up(proxy) &&
          this->offer(proxy, {digest, this->next_id++, this->now, retry, false})) {
        return;
      }
    }
  }

  // Whether it is not asked elsewhere.
  auto offer(simulated_proxy& proxy, const run_of_request& run) -> bool {
    if (run.retry) {
      proxy.ledger.on_reported_crash(run.digest, this->now);
    }
    return std::visit(
        overloaded{[&](const unsuspected&) { return this->begin(proxy, run); },
                   [&](const suspected& s) {
                     const auto light = s.crashes == 1;
                     return this->isolate(proxy, run, time_left / (light ? 4 : 2), light);
                   },
                   [&](const quarantined&) {
                     return is_quarantine_proxy(run.digest, proxy.address, this->ready_proxies()) &&
                            this->isolate(proxy, run, time_left / 2, false);
                   },
                   [&](const blocked&) {
                     this->outcome.others_refused += is_harmful(run.digest) ? 0 : 1;
                     return true;
                   }},
        proxy.ledger.judge(run.digest, this->now));
  }

  auto isolate(simulated_proxy& proxy, run_of_request run, Duration wait, bool goes_on) -> bool {
    run.isolated = true;
    if (proxy.isolation.enter(run.id, run.begun + wait)) {
      return this->begin(proxy, run);
    }
    proxy.waiting[run.id] = {run, goes_on};
    return true;
  }

  auto begin(simulated_proxy& proxy, run_of_request run) -> bool {
    run.begun = this->now;
    proxy.running.push_back(run);
    const auto third = this->third_crash.find(run.digest);
    if (third != this->third_crash.end() && this->now > third->second + report_delay) {
      this->late[run.digest] += 1;
    }
    return true;
  }

  void advance(simulated_proxy& proxy) {
    const auto crashes_it = [&](const run_of_request& run) {
      return is_harmful(run.digest) && this->now - run.begun >= work_until_crash;
    };
    const auto end = std::find_if(proxy.running.begin(), proxy.running.end(), crashes_it);
    if (end != proxy.running.end()) {
      this->outcome.crashes += 1;
      this->crash_server(proxy);
      return;
    }
    auto running = std::vector<run_of_request>();
    for (const auto& run : proxy.running) {
      if (this->now - run.begun < work) {
        running.push_back(run);
        continue;
      }
      proxy.ledger.on_success(run.digest, proxy.instance(), this->now);
      proxy.isolation.leave(run.id);
    }
    proxy.running = running;
    this->pump(proxy);
  }

  void pump(simulated_proxy& proxy) {
    for (const auto id : proxy.isolation.take_expired(this->now)) {
      auto waited = proxy.waiting[id];
      proxy.waiting.erase(id);
      waited.run.isolated = false;
      if (waited.goes_on_at_last) {
        this->begin(proxy, waited.run);
      }
    }
    while (const auto id = proxy.isolation.take_next()) {
      const auto run = proxy.waiting[*id].run;
      proxy.waiting.erase(*id);
      const auto held = proxy.ledger.judge(run.digest, this->now);
      if (std::holds_alternative<blocked>(held)) {
        proxy.isolation.leave(*id);
      } else {
        this->begin(proxy, run);
      }
    }
  }

  void crash_server(simulated_proxy& proxy) {
    const auto lost = std::exchange(proxy.running, {});
    for (const auto& run : lost) {
      proxy.ledger.on_lost({proxy.instance().id, run.digest, run.isolated}, this->now);
      this->crashes_of[run.digest] += is_harmful(run.digest) ? 1 : 0;
      if (is_harmful(run.digest) && this->crashes_of[run.digest] == 3) {
        this->third_crash[run.digest] = this->now;
      }
    }
    proxy.ledger.on_server_gone(proxy.instance(), this->now);
    const auto waiting = std::exchange(proxy.waiting, {});
    proxy.isolation = isolation_queue();
    proxy.starts += 1;
    proxy.back = this->now + time_to_restart;
    for (const auto& run : lost) {
      if (!run.retry) {
        this->send(run.digest, true);
      }
    }
    for (const auto& [id, waited] : waiting) {
      this->send(waited.run.digest, waited.run.retry);
    }
  }

  void kill_if_due() {
    if (this->options.killed_at_once == 0 || this->now < seconds(1002) || this->killed) {
      return;
    }
    this->killed = true;
    for (auto i = std::size_t(0); i < this->options.killed_at_once; ++i) {
      this->crash_server(*this->proxies[i]);
    }
  }

  void pass_reports() {
    if (!this->options.reports) {
      return;
    }
    for (auto i = std::size_t(0); i < this->proxies.size(); ++i) {
      auto& proxy = *this->proxies[i];
      auto& member = this->registries[i % members];
      for (const auto& evidence : proxy.ledger.take_unreported()) {
        member.offer(evidence, this->now);
      }
      if (this->now % poll_interval == Duration(0) && member.counter() > proxy.known) {
        proxy.ledger.take(member.changes_since(proxy.known, "templates", this->now),
                          proxy.instance(), this->now);
        proxy.known = member.counter();
      }
    }
    if (this->now % pull_interval == Duration(0)) {
      this->pull();
    }
  }

  void pull() {
    for (auto from = std::size_t(0); from < members; ++from) {
      for (auto to = std::size_t(0); to < members; ++to) {
        auto& pulled = this->pulled[from][to];
        for (const auto& evidence : this->registries[from].changes_since(pulled, "", this->now)) {
          this->registries[to].offer(evidence, this->now);
        }
        pulled = this->registries[from].counter();
      }
    }
  }

  auto count_blocked_others() const -> std::size_t {
    auto count = std::size_t(0);
    for (const auto& proxy : this->proxies) {
      for (auto request = std::uint64_t(0); request < popular_requests; ++request) {
        const auto held = proxy->ledger.judge({2, request}, this->now);
        count += std::holds_alternative<blocked>(held) ? 1 : 0;
      }
    }
    return count;
  }

  fleet_options options;
  Random random;
  TimePoint now = seconds(1000);
  std::vector<std::unique_ptr<simulated_proxy>> proxies;
  evidence_registry registries[members];
  std::uint64_t pulled[members][members] = {};
  std::map<request_digest, std::size_t> crashes_of;
  std::map<request_digest, TimePoint> third_crash;
  std::map<request_digest, std::size_t> late;
  isolation_queue::request_id next_id = 1;
  bool killed = false;
  fleet_outcome outcome;
};

struct fleet_case {
  const char* name;
  fleet_options options;
};

// Keeps the name of a test the same in every run.
void PrintTo(const fleet_case& tested, std::ostream* out) {
  *out << tested.name;
}

auto make_options(std::size_t proxies, std::uint64_t harmful, double harmful_a_second,
                  std::size_t most_crashes) -> fleet_options {
  auto options = fleet_options();
  options.proxies = proxies;
  options.harmful = harmful;
  options.harmful_a_second = harmful_a_second;
  options.most_crashes = most_crashes;
  return options;
}

constexpr auto seeds = std::uint64_t(12);
constexpr auto length = seconds(20);

class crash_fleet_table : public testing::TestWithParam<fleet_case> {};

TEST_P(crash_fleet_table, runs_no_request_more_than_three_times_after_it_is_proved) {
  for (auto seed = std::uint64_t(1); seed <= seeds; ++seed) {
    const auto outcome = simulated_fleet(GetParam().options, seed).play(length);
    EXPECT_LE(outcome.late_sends, 3U) << "seed " << seed;
    EXPECT_LE(outcome.crashes, GetParam().options.most_crashes) << "seed " << seed;
    EXPECT_EQ(outcome.blocked_others, 0U) << "seed " << seed;
    EXPECT_LE(outcome.others_refused * 500, outcome.others) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    table, crash_fleet_table,
    testing::Values(fleet_case{"three_servers", make_options(3, 1, 2, 6)},
                    fleet_case{"hundreds_of_servers", make_options(200, 1, 4, 10)},
                    fleet_case{"hundreds_of_servers_and_many_tries", make_options(200, 1, 40, 30)},
                    fleet_case{"several_harmful_requests", make_options(60, 3, 6, 18)}),
    [](const auto& info) { return std::string(info.param.name); });

// The same without reports between proxies: each has to find out by itself.
TEST(crash_fleet, of_proxies_that_hear_nothing_runs_it_again_and_again) {
  auto options = make_options(200, 1, 4, 0);
  options.reports = false;
  EXPECT_GT(simulated_fleet(options, 1).play(length).late_sends, 30U);
}

// Servers that crash for another reason, all with the popular requests under way.
TEST(crash_fleet, blocks_nothing_that_was_under_way_at_the_crashes_of_half_of_the_servers) {
  for (auto seed = std::uint64_t(1); seed <= seeds; ++seed) {
    auto options = make_options(60, 1, 0, 0);
    options.killed_at_once = 30;
    const auto outcome = simulated_fleet(options, seed).play(length);
    EXPECT_EQ(outcome.blocked_others, 0U) << "seed " << seed;
    EXPECT_EQ(outcome.others_refused, 0U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace ramppond
