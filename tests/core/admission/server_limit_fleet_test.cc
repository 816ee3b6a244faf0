// Servers that name limits, on many proxies in virtual time: what reaches each server, and what
// becomes of the requests. Counts are taken at the servers.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/admission/server_admission.h"
#include "core/placement/instance_directory.h"
#include "core/random.h"
#include "core/rate_limit/effective_limit.h"

namespace ramppond {
namespace {

constexpr Duration link_delay = milliseconds(1);
constexpr Duration patience = milliseconds(300);
constexpr Duration window = seconds(4);
constexpr std::uint32_t slots = 100;
constexpr std::size_t max_attempts = 4;
constexpr std::size_t server_count = 3;
constexpr std::uint32_t ranks = 2;

/// From `from` on, in milliseconds, the server names this many requests a second; below 0: none.
struct limit_change {
  int from_ms;
  double per_second;
};

struct fleet_case {
  const char* name;
  std::size_t proxies;
  double requests_per_second;                     // of all callers
  std::vector<std::vector<limit_change>> limits;  // by server
  int restart_ms;                     // the proxy beside server 0 starts anew; 0 for never
  double served;                      // share of all requests that the limits leave room for
  double urgent_served;               // share of the more urgent half, if it goes first
  double use_of_server_0;             // of the limit that it names last; 0 for any
  Duration work = milliseconds(100);  // of each request at its server
};

// Keeps the name of a test the same in every run.
void PrintTo(const fleet_case& tested, std::ostream* out) {
  *out << tested.name;
}

/// One server, and what the proxy beside it knows.
struct server_side {
  std::vector<limit_change> names;
  std::vector<TimePoint> arrivals;
  ServerAdmission admission;
  effective_limit limit;
  std::optional<TimePoint> next_pump;
  int starts = 0;  // of the proxy beside it

  auto limit_at(TimePoint now) const -> named_limit {
    auto named = named_limit(no_limit{});
    for (const auto& change : this->names) {
      if (now >= milliseconds(change.from_ms)) {
        named = change.per_second < 0 ? named_limit(no_limit{})
                                      : named_limit(request_rate{change.per_second});
      }
    }
    return named;
  }
};

struct sent_request {
  std::size_t proxy = 0;
  std::uint32_t rank = 0;
  std::set<std::string> tried;
};

class fleet {
 public:
  fleet(const fleet_case& tested, std::uint64_t seed) : tested(tested), random(seed) {
    for (std::size_t number = 0; number < server_count; ++number) {
      this->servers.emplace_back();
      this->servers.back().names = tested.limits.at(number);
      this->servers.back().admission.setSlots(slots);
    }
    for (std::size_t number = 0; number < tested.proxies; ++number) {
      this->directories.push_back(
          std::make_unique<InstanceDirectory>(InstanceDirectoryOptions{"z", number + 1}));
      for (std::size_t server = 0; server < server_count; ++server) {
        auto record = InstanceRecord();
        record.proxy_address = std::to_string(server);
        record.proxy_incarnation = 1;
        record.revision = 1;
        record.server_incarnation = "i-" + std::to_string(server);
        record.service = "desk";
        record.zone = "z";
        record.slots = slots;
        record.state = InstanceState::kReady;
        this->directories.back()->offer(record);
      }
    }
  }

  void run(Duration time) {
    this->end = time;
    this->arrive();
    if (this->tested.restart_ms > 0) {
      this->at(milliseconds(this->tested.restart_ms), [this] { this->restart(); });
    }
    while (!this->events.empty()) {
      const auto next = this->events.top();
      this->events.pop();
      this->now = next.time;
      next.action();
    }
  }

  [[nodiscard]] auto share_served(std::uint32_t rank) const -> double {
    return static_cast<double>(this->served[rank]) / static_cast<double>(this->asked[rank]);
  }
  [[nodiscard]] auto share_served() const -> double {
    return static_cast<double>(this->served[0] + this->served[1]) /
           static_cast<double>(this->asked[0] + this->asked[1]);
  }

  std::vector<server_side> servers;

 private:
  struct event {
    TimePoint time;
    std::uint64_t number;
    std::function<void()> action;
    auto operator<(const event& other) const -> bool {
      return std::tie(other.time, other.number) < std::tie(this->time, this->number);
    }
  };

  void at(TimePoint time, std::function<void()> action) {
    this->events.push({time, this->next_number++, std::move(action)});
  }

  void arrive() {
    const auto request = std::make_shared<sent_request>();
    request->proxy = this->random.next() % this->tested.proxies;
    request->rank = static_cast<std::uint32_t>(this->random.next() % ranks);
    this->asked[request->rank] += 1;
    this->send(request);
    const auto pause = -std::log(1 - this->random.uniform()) / this->tested.requests_per_second;
    const auto next = this->now + Duration(static_cast<std::int64_t>(pause * 1e6));
    if (next < this->end) {
      this->at(next, [this] { this->arrive(); });
    }
  }

  void send(const std::shared_ptr<sent_request>& request) {
    auto& directory = *this->directories[request->proxy];
    auto* chosen = directory.choose("desk", "route", request->tried, this->now);
    if (chosen == nullptr || request->tried.size() >= max_attempts) {
      return;
    }
    request->tried.insert(chosen->record.proxy_address);
    directory.onSent(*chosen, this->now);
    const auto told = chosen->rate();
    this->at(this->now + link_delay, [this, request, chosen, told] {
      this->offer(std::stoul(chosen->record.proxy_address), request, *chosen, told);
    });
  }

  void offer(std::size_t number, const std::shared_ptr<sent_request>& request, KnownInstance& known,
             const std::optional<rate_load>& told) {
    auto& server = this->servers[number];
    if (told && server.limit.on_peer_report(told->limit, this->now)) {
      server.admission.setRate(server.limit.rate(), this->now);
    }
    const auto id = this->next_number++;
    const auto wanted =
        AdmissionRequest{id, request->rank, patience, patience, false, this->tested.work};
    this->waiting[id] = {request, &known};
    switch (server.admission.offer(wanted, this->now)) {
      case AdmissionVerdict::kDispatch:
        this->dispatch(number, id);
        break;
      case AdmissionVerdict::kWait:
        this->pump(number);
        break;
      case AdmissionVerdict::kRefuse:
      case AdmissionVerdict::kRefuseForRate:
        this->refuse(number, id);
        break;
    }
  }

  void pump(std::size_t number) {
    auto& admission = this->servers[number].admission;
    for (const auto id : admission.takeExpired(this->now)) {
      this->refuse(number, id);
    }
    while (const auto id = admission.takeDispatchable(this->now)) {
      this->dispatch(number, *id);
    }
    auto next = admission.nextExpiry();
    const auto place = admission.nextRateToken(this->now);
    if (place) {
      next = std::min(*place, next.value_or(*place));
    }
    if (next) {
      const auto due = std::max(*next, this->now + milliseconds(1));
      auto& pending = this->servers[number].next_pump;
      if (!pending || *pending <= this->now || due < *pending) {
        pending = due;
        this->at(due, [this, number, due] {
          if (this->servers[number].next_pump == due) {
            this->servers[number].next_pump.reset();
            this->pump(number);
          }
        });
      }
    }
  }

  void dispatch(std::size_t number, AdmissionId id) {
    auto& server = this->servers[number];
    server.arrivals.push_back(this->now);
    const auto begun = this->now;
    const auto start = server.starts;
    this->at(this->now + this->tested.work, [this, number, id, begun, start] {
      auto& answering = this->servers[number];
      if (answering.starts != start) {
        return;
      }
      if (answering.limit.on_answer(answering.limit_at(this->now), begun, this->now)) {
        answering.admission.setRate(answering.limit.rate(), this->now);
      }
      answering.admission.onFinished(begun, ServerOutcome::kAnswered, this->now);
      this->answer(number, id, true);
      this->pump(number);
    });
  }

  void refuse(std::size_t number, AdmissionId id) { this->answer(number, id, false); }

  void answer(std::size_t number, AdmissionId id, bool ran) {
    const auto& server = this->servers[number];
    auto load = ServerLoad();
    load.limit = server.admission.limit();
    load.under_way = static_cast<std::uint32_t>(server.admission.underWay());
    load.waiting = static_cast<std::uint32_t>(server.admission.waiting());
    load.service_time = this->tested.work;
    if (const auto rate = server.limit.rate()) {
      load.rate = rate_load{*rate, server.admission.demand(this->now)};
    }
    const auto [request, known] = this->waiting[id];
    this->waiting.erase(id);
    this->at(this->now + link_delay, [this, request = request, known = known, load, ran] {
      auto& directory = *this->directories[request->proxy];
      directory.onReached(*known, this->now);
      directory.onLoad(*known, "route", load, this->now);
      directory.onEnded(*known);
      if (ran) {
        this->served[request->rank] += 1;
        return;
      }
      directory.onRefused(*known, this->now);
      this->send(request);
    });
  }

  // The answers to what the server runs are lost with it.
  void restart() {
    auto& server = this->servers[0];
    server.starts += 1;
    server.admission = ServerAdmission();
    server.admission.setSlots(slots);
    server.limit = effective_limit();
  }

  struct waiting_request {
    std::shared_ptr<sent_request> request;
    KnownInstance* known;
  };

  fleet_case tested;
  std::vector<std::unique_ptr<InstanceDirectory>> directories;
  std::priority_queue<event> events;
  std::map<AdmissionId, waiting_request> waiting;
  std::uint64_t next_number = 1;
  TimePoint now{0};
  TimePoint end{0};
  Random random;
  std::array<std::uint64_t, ranks> asked{};
  std::array<std::uint64_t, ranks> served{};
};

/// The most arrivals in any window that begins between `from` and `until`.
auto most_in_a_window(const std::vector<TimePoint>& arrivals, TimePoint from, TimePoint until)
    -> std::size_t {
  auto most = std::size_t(0);
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
       first != arrivals.end() && *first + window <= until; ++first) {
    const auto last = std::upper_bound(first, arrivals.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

class server_limit_fleet : public testing::TestWithParam<fleet_case> {
 protected:
  static constexpr auto day = Duration(seconds(30));
  static constexpr auto last_part = Duration(seconds(10));
  // Of what there is room for.
  static constexpr auto well_used = 0.9;

  static void expect_limits_kept(const server_side& server) {
    // Until an answer has named the limit and half a second more has gone by.
    const auto until_told = GetParam().work + milliseconds(600);
    for (std::size_t change = 0; change < server.names.size(); ++change) {
      const auto limit = server.names[change].per_second;
      if (limit < 0) {
        continue;
      }
      const auto from = milliseconds(server.names[change].from_ms) + until_told;
      const auto last = change + 1 == server.names.size();
      const auto until =
          last ? TimePoint(day) : TimePoint(milliseconds(server.names[change + 1].from_ms));
      EXPECT_LE(static_cast<double>(most_in_a_window(server.arrivals, from, until)),
                std::max(limit, 0.25) * (4 + 0.25) + 1)
          << "limit " << limit << " from " << server.names[change].from_ms;
    }
  }

  /// Share of the limit named last that was used in the last part of the day.
  static auto used_at_the_end(const server_side& server) -> double {
    if (server.names.empty() || server.names.back().per_second <= 0) {
      return 0;
    }
    const auto used = std::count_if(server.arrivals.begin(), server.arrivals.end(),
                                    [](TimePoint time) { return time >= day - last_part; });
    const auto room = server.names.back().per_second * 10;
    return static_cast<double>(used) / room;
  }
};

TEST_P(server_limit_fleet, keeps_each_limit_and_uses_what_room_there_is) {
  constexpr auto seeds = std::uint64_t(4);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    auto played = fleet(GetParam(), seed);
    played.run(day);
    for (const auto& server : played.servers) {
      expect_limits_kept(server);
    }
    EXPECT_GE(played.share_served(), well_used * GetParam().served);
    EXPECT_GE(played.share_served(0), well_used * GetParam().urgent_served);
    EXPECT_GE(used_at_the_end(played.servers[0]), well_used * GetParam().use_of_server_0);
  }
}

const auto unlimited = std::vector<limit_change>();
const auto ten = std::vector<limit_change>{{5000, 10}};

// What is to be served follows from the limits: with all three at 10 a second from second 5 on, 650
// of 3,900 requests come before and 750 of the others fit, so 0.359 of all and, the urgent first,
// 1,075 of the 1,950 urgent ones.
INSTANTIATE_TEST_SUITE_P(
    table, server_limit_fleet,
    testing::Values(
        fleet_case{"one_of_three", 12, 130, {ten, unlimited, unlimited}, 0, 1, 1, 0},
        fleet_case{"one_of_three_and_no_room_to_spare",
                   12,
                   2000,
                   {ten, unlimited, unlimited},
                   0,
                   0.954,
                   1,
                   1},
        fleet_case{"all_of_three", 12, 130, {ten, ten, ten}, 0, 0.359, 0.551, 1},
        fleet_case{"on_many_proxies", 300, 130, {ten, ten, ten}, 0, 0.359, 0.551, 1},
        fleet_case{
            "less_than_one_a_second", 12, 130, {{{5000, 0.5}}, unlimited, unlimited}, 0, 1, 1, 0},
        fleet_case{"zero", 12, 130, {{{5000, 0}}, unlimited, unlimited}, 0, 1, 1, 0},
        fleet_case{"lowered",
                   12,
                   130,
                   {{{5000, 30}, {12000, 4}}, {{5000, 30}}, {{5000, 30}}},
                   0,
                   0.624,
                   0.991,
                   1},
        fleet_case{"raised",
                   12,
                   130,
                   {{{5000, 4}, {15000, 40}}, {{5000, 4}}, {{5000, 4}}},
                   0,
                   0.382,
                   0.597,
                   1},
        fleet_case{"lifted",
                   12,
                   130,
                   {{{5000, 4}, {15000, -1}}, {{5000, 4}}, {{5000, 4}}},
                   0,
                   0.697,
                   0.728,
                   0},
        fleet_case{"its_proxy_starts_anew", 12, 400, {ten, ten, ten}, 15000, 0.229, 0.292, 1},
        fleet_case{"its_proxy_starts_anew_beside_a_slow_server",
                   12,
                   200,
                   {ten, ten, ten},
                   15000,
                   0.291,
                   0.417,
                   1,
                   seconds(1)}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
