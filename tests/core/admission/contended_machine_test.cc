// Simulates a server on a machine whose speed changes, in virtual time, with and without the
// server's reports on it. Guards against requests that wait beside a server whose work currently
// takes several times as long, until their time is up.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <ostream>
#include <vector>

#include "core/admission/machine_slowdown.h"
#include "core/admission/patience.h"
#include "core/admission/server_admission.h"
#include "core/random.h"

namespace ramppond {
namespace {

constexpr std::uint32_t slots = 24;
constexpr auto step = milliseconds(1);
constexpr auto length = seconds(60);
constexpr auto seeds = std::uint64_t(8);
constexpr auto slow_work = 3.0;
constexpr auto min_phase = milliseconds(100);
constexpr auto max_phase = milliseconds(1000);
constexpr auto query_round_trip = milliseconds(1);

struct caller {
  const char* name;
  bool is_call;
  Duration goal;
  Duration work;  // mean, at usual speed
  double share;   // of the slots, at usual speed, for a load of 1
};
const auto callers = std::array<caller, 2>{{{"client", false, seconds(1), milliseconds(30), 0.5},
                                            {"call", true, seconds(1), milliseconds(60), 0.5}}};

struct caller_counts {
  int arrived = 0;
  int served_in_time = 0;
  int waited_unserved = 0;
  Duration waited_in_vain{0};

  void add(const caller_counts& other) {
    this->arrived += other.arrived;
    this->served_in_time += other.served_in_time;
    this->waited_unserved += other.waited_unserved;
    this->waited_in_vain += other.waited_in_vain;
  }
};
struct run_counts {
  std::array<caller_counts, callers.size()> by_caller;
  std::int64_t idle_slot_ms = 0;

  [[nodiscard]] auto total(int caller_counts::*field) const -> int {
    return this->by_caller[0].*field + this->by_caller[1].*field;
  }
};

class contended_run {
 public:
  contended_run(double load, bool reports, std::uint64_t seed)
      : load(load), reports(reports), random(seed) {
    this->admission.setSlots(slots);
  }

  auto play() -> run_counts {
    for (; this->now < TimePoint(length); this->now += step) {
      this->change_speed();
      this->work();
      this->query();
      this->expire();
      while (const auto id = this->admission.takeDispatchable(this->now)) {
        this->dispatch(*id);
      }
      for (auto kind = std::size_t(0); kind < callers.size(); ++kind) {
        this->arrive(kind);
      }
      this->counts.idle_slot_ms += this->admission.limit() - this->admission.underWay();
    }
    return this->counts;
  }

 private:
  struct request {
    std::size_t kind = 0;
    TimePoint arrived{0};
    TimePoint begun{0};
    TimePoint begun_work{0};
    double work_left_us = 0;
  };

  void change_speed() {
    if (this->now < this->phase_end) {
      return;
    }
    this->slow = !this->slow;
    const auto spread = static_cast<double>((max_phase - min_phase).count());
    this->phase_end = this->now + min_phase +
                      milliseconds(static_cast<std::int64_t>(this->random.uniform() * spread));
  }

  [[nodiscard]] auto slowdown() const -> double { return this->slow ? slow_work : 1; }

  void report() {
    if (!this->reports) {
      return;
    }
    const auto percent = static_cast<std::uint32_t>(this->slowdown() * 100);
    this->machine.on_report(server_load_report{0, 0, slots, percent}, this->now);
  }

  void work() {
    auto ended = std::vector<AdmissionId>();
    for (auto& [id, running] : this->running) {
      running.work_left_us -= static_cast<double>(Duration(step).count()) / this->slowdown();
      if (running.work_left_us <= 0) {
        ended.push_back(id);
      }
    }
    for (const auto id : ended) {
      const auto done = this->running[id];
      this->running.erase(id);
      this->report();
      this->admission.onFinished(done.begun, ServerOutcome::kAnswered, this->now, id,
                                 this->machine.work_clock(this->now) - done.begun_work);
      const auto in_time = this->now - done.arrived <= callers[done.kind].goal;
      this->counts.by_caller[done.kind].served_in_time += in_time ? 1 : 0;
    }
  }

  void query() {
    if (this->answer_due && *this->answer_due <= this->now) {
      this->answer_due.reset();
      this->machine.on_query_ended();
      this->report();
    }
    const auto next = this->machine.next_query();
    const auto in_use = this->admission.underWay() + this->admission.waiting() > 0;
    if (next && *next <= this->now && in_use) {
      this->machine.on_query_sent(this->now);
      this->answer_due = this->now + query_round_trip;
    }
  }

  void expire() {
    for (const auto id : this->admission.takeExpired(this->now)) {
      const auto& expired = this->waiting[id];
      auto& count = this->counts.by_caller[expired.kind];
      ++count.waited_unserved;
      count.waited_in_vain += this->now - expired.arrived;
      this->waiting.erase(id);
    }
  }

  void arrive(std::size_t kind) {
    const auto& from = callers[kind];
    const auto mean_us = static_cast<double>(from.work.count());
    const auto interval = mean_us / (this->load * from.share * this->admission.limit());
    auto& next = this->next_arrival_us[kind];
    for (; next < static_cast<double>(this->now.count());
         next += this->random.exponential(interval)) {
      ++this->counts.by_caller[kind].arrived;
      const auto id = this->next_id++;
      this->waiting[id] = {kind, this->now, {}, {}, this->random.exponential(mean_us)};
      const auto patience = patience_of(from.goal, from.is_call);
      auto offered = AdmissionRequest{id, 0, patience, reference_wait(patience, from.is_call)};
      offered.is_call = from.is_call;
      offered.slowdown = this->machine.factor(this->now);
      const auto verdict = this->admission.offer(offered, this->now);
      if (verdict == AdmissionVerdict::kDispatch) {
        this->dispatch(id);
      }
      if (verdict == AdmissionVerdict::kRefuse) {
        this->waiting.erase(id);
      }
    }
  }

  void dispatch(AdmissionId id) {
    auto begun = this->waiting[id];
    this->waiting.erase(id);
    begun.begun = this->now;
    begun.begun_work = this->machine.work_clock(this->now);
    this->running[id] = begun;
  }

  double load;
  bool reports;
  Random random;
  ServerAdmission admission;
  machine_slowdown machine;
  run_counts counts;
  TimePoint now{0};
  TimePoint phase_end{0};
  bool slow = true;
  std::optional<TimePoint> answer_due;
  std::array<double, callers.size()> next_arrival_us{};
  AdmissionId next_id = 1;
  std::map<AdmissionId, request> waiting;
  std::map<AdmissionId, request> running;
};

struct load_case {
  const char* name;
  double load;  // as a multiple of the capacity at usual speed
};

// Keeps the name of a test the same in every run.
// NOLINTNEXTLINE(readability-identifier-naming): the name is set by GoogleTest.
void PrintTo(const load_case& tested, std::ostream* out) {
  *out << tested.name;
}

class contended_machine_table : public testing::TestWithParam<load_case> {
 protected:
  /// Sums over several seeds, since at a low load few requests wait.
  static auto play(bool reports) -> run_counts {
    auto sum = run_counts();
    for (auto seed = std::uint64_t(1); seed <= seeds; ++seed) {
      const auto counts = contended_run(GetParam().load, reports, seed).play();
      for (auto kind = std::size_t(0); kind < callers.size(); ++kind) {
        sum.by_caller[kind].add(counts.by_caller[kind]);
      }
      sum.idle_slot_ms += counts.idle_slot_ms;
    }
    return sum;
  }

  static void record(const std::string& run, const run_counts& counts) {
    for (auto kind = std::size_t(0); kind < callers.size(); ++kind) {
      const auto& count = counts.by_caller[kind];
      const auto name = run + "_" + callers[kind].name;
      RecordProperty(name + "_arrived", count.arrived);
      RecordProperty(name + "_served_in_time", count.served_in_time);
      RecordProperty(name + "_waited_unserved", count.waited_unserved);
      RecordProperty(name + "_waited_in_vain_ms",
                     static_cast<int>(count.waited_in_vain / milliseconds(1)));
    }
    RecordProperty(run + "_idle_slot_ms", static_cast<int>(counts.idle_slot_ms));
  }
};

TEST_P(contended_machine_table, fewer_requests_wait_without_being_served) {
  const auto control = play(false);
  const auto with = play(true);
  record("control", control);
  record("with", with);
  EXPECT_LT(with.total(&caller_counts::waited_unserved),
            control.total(&caller_counts::waited_unserved));
}

// Requests must not be refused that the server could have served.
TEST_P(contended_machine_table, as_many_requests_are_served_in_time) {
  EXPECT_GE(play(true).total(&caller_counts::served_in_time),
            play(false).total(&caller_counts::served_in_time) * 99 / 100);
}

INSTANTIATE_TEST_SUITE_P(table, contended_machine_table,
                         testing::Values(load_case{"half", 0.5}, load_case{"nearly_full", 0.8},
                                         load_case{"more_than_full", 1.2}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
