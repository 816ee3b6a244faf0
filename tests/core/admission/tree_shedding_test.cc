// Trees of calls over one scarce service, in virtual time: what the level that the scarce server
// asks for does when the front keeps the least urgent trees away, and what happens without it.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <ostream>
#include <queue>

#include "core/admission/downstream_overload.h"
#include "core/admission/patience.h"
#include "core/admission/server_admission.h"
#include "core/random.h"

namespace ramppond {
namespace {

constexpr std::uint32_t slots = 40;
constexpr auto call_time = milliseconds(50);
constexpr auto goal = milliseconds(300);
constexpr auto length = seconds(20);
constexpr std::uint32_t rank_of_calls = 1;

struct kind_of_tree {
  const char* name;
  std::uint32_t rank;         // of its root
  std::uint32_t less_urgent;  // ranks below it
  int calls;                  // one after the other, at the scarce service
  double per_second;
};

struct tree_counts {
  int begun = 0;
  int refused = 0;
  int failed = 0;
  int complete = 0;
};

/// One run of a scarce service under trees of two kinds.
class tree_run {
 public:
  /// `report_delay`: from an answer of the scarce server to the moment at which the front knows the
  /// level that came with it.
  tree_run(std::vector<kind_of_tree> kinds, bool shedding, Duration report_delay)
      : kinds(std::move(kinds)),
        shedding(shedding),
        report_delay(report_delay),
        counts(this->kinds.size()) {
    this->admission.setSlots(slots);
  }

  auto play() -> const std::vector<tree_counts>& {
    for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) this->schedule_arrival(kind);
    while (!this->events.empty() && this->events.top().at < TimePoint(length)) {
      const auto next = this->events.top();
      this->events.pop();
      this->now = next.at;
      next.run();
      this->pump();
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
  struct waiting_call {
    std::size_t kind;
    int left;
  };

  void after(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, this->next_event++, std::move(run)});
  }

  void schedule_arrival(std::size_t kind) {
    const double mean_us = 1e6 / this->kinds[kind].per_second;
    this->after(Duration(static_cast<std::int64_t>(this->random.exponential(mean_us))),
                [this, kind] {
                  this->on_arrival(kind);
                  this->schedule_arrival(kind);
                });
  }

  void on_arrival(std::size_t kind) {
    auto& count = this->counts[kind];
    ++count.begun;
    for (const auto& entry : this->below.of(this->kinds[kind].name, this->now)) {
      const double share = shed_share(entry.level, this->kinds[kind].less_urgent);
      if (this->shedding && this->random.uniform() < share) {
        ++count.refused;
        return;
      }
    }
    this->call(kind, this->kinds[kind].calls);
  }

  void call(std::size_t kind, int left) {
    const auto id = this->next_call++;
    const auto verdict = this->admission.offer(
        {id, rank_of_calls, patience_of(goal, true), reference_wait(patience_of(goal, true), true)},
        this->now);
    if (verdict == AdmissionVerdict::kRefuse) {
      this->on_answer(kind);
      ++this->counts[kind].failed;
      return;
    }
    this->calls[id] = {kind, left};
    if (verdict == AdmissionVerdict::kDispatch) this->dispatch(id);
  }

  void dispatch(AdmissionId id) {
    const auto begun = this->now;
    const auto time = Duration(static_cast<std::int64_t>(
        this->random.exponential(static_cast<double>(Duration(call_time).count()))));
    this->after(time, [this, id, begun] {
      this->admission.onFinished(begun, ServerOutcome::kAnswered, this->now);
      const auto done = this->calls[id];
      this->calls.erase(id);
      this->on_answer(done.kind);
      if (done.left > 1) {
        this->call(done.kind, done.left - 1);
      } else {
        ++this->counts[done.kind].complete;
      }
    });
  }

  void on_answer(std::size_t kind) {
    const auto level = this->admission.shedLevel(this->now);
    this->after(this->report_delay, [this, kind, level] {
      this->below.on_answer(this->kinds[kind].name, {{"scarce", level}}, this->now);
    });
  }

  void pump() {
    for (const auto id : this->admission.takeExpired(this->now)) {
      ++this->counts[this->calls[id].kind].failed;
      this->calls.erase(id);
    }
    while (const auto id = this->admission.takeDispatchable(this->now)) this->dispatch(*id);
  }

  std::vector<kind_of_tree> kinds;
  bool shedding;
  Duration report_delay;
  std::vector<tree_counts> counts;
  ServerAdmission admission;
  downstream_overload below;
  Random random{7};
  TimePoint now{0};
  std::priority_queue<event> events;
  std::uint64_t next_event = 0;
  AdmissionId next_call = 1;
  std::map<AdmissionId, waiting_call> calls;
};

struct load_case {
  const char* name;
  double urgent_per_second;
  double other_per_second;
  double least_urgent_complete;  // with shedding, as a share
  double least_other_complete;
  Duration report_delay{0};
};

// Keeps the name of a test the same in every run.
void PrintTo(const load_case& tested, std::ostream* out) {
  *out << tested.name;
}

auto share(int part, int whole) -> double {
  return whole == 0 ? 1 : static_cast<double>(part) / whole;
}

class tree_shedding_table : public testing::TestWithParam<load_case> {
 protected:
  static auto play(bool shedding) -> std::vector<tree_counts> {
    const auto& load = GetParam();
    auto run = tree_run(
        {{"urgent", 0, 1, 8, load.urgent_per_second}, {"other", 2, 0, 4, load.other_per_second}},
        shedding, load.report_delay);
    return run.play();
  }
};

TEST_P(tree_shedding_table, urgent_trees_are_served_and_little_work_is_wasted) {
  const auto counts = play(true);
  EXPECT_GE(share(counts[0].complete, counts[0].begun), GetParam().least_urgent_complete);
  EXPECT_GE(share(counts[1].complete, counts[1].begun), GetParam().least_other_complete);
}

TEST_P(tree_shedding_table, no_kind_is_served_less_than_without_it_if_it_is_urgent) {
  const auto with = play(true);
  const auto without = play(false);
  EXPECT_GE(with[0].complete, without[0].complete * 99 / 100);
  EXPECT_LE(with[0].failed + with[1].failed, without[0].failed + without[1].failed);
}

// The server does 760 calls a second; an urgent tree takes eight, another one four.
INSTANTIATE_TEST_SUITE_P(table, tree_shedding_table,
                         testing::Values(load_case{"light", 30, 60, 0.98, 0.98},
                                         load_case{"a_little_too_much", 45, 115, 0.88, 0.70},
                                         load_case{"half_too_much", 50, 190, 0.80, 0.35},
                                         load_case{"twice_too_much", 40, 310, 0.70, 0.20},
                                         load_case{"half_too_much_known_late", 50, 190, 0.86, 0.30,
                                                   milliseconds(400)}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
