#include "lab/simulation/scenarios.h"

#include <algorithm>
#include <memory>

namespace ramppond {
namespace {

constexpr Duration kInForceWithin = seconds(14);
constexpr Duration kDrainGrace = seconds(3);
constexpr Duration kSilenceNoticed = seconds(10);
constexpr Duration kCheckedWindDown = seconds(16);
constexpr double kShedMargin = 0.02;

Duration randomTime(Simulation& simulation, Duration from, Duration to) {
  const auto span = static_cast<std::uint64_t>((to - from).count());
  return from + Duration(static_cast<std::int64_t>(simulation.random().below(span)));
}

void killAndRestart(Simulation& simulation, Duration when, Duration down) {
  SimulatedDaemon& daemon = simulation.randomDaemon();
  simulation.at(when, [&daemon] { daemon.kill(); });
  simulation.at(when + down, [&daemon] { daemon.restart(true); });
}

void freezeAndThaw(Simulation& simulation, Duration when, Duration length) {
  SimulatedDaemon& daemon = simulation.randomDaemon();
  simulation.at(when, [&daemon] { daemon.freeze(); });
  simulation.at(when + length, [&daemon] { daemon.thaw(); });
}

void disturbNetwork(Simulation& simulation, double loss, double copies) {
  simulation.at(Duration(0), [&simulation, loss, copies] {
    simulation.world().network.options().loss_probability = loss;
    simulation.world().network.options().copy_probability = copies;
  });
  simulation.at(simulation.options().length, [&simulation] {
    simulation.world().network.options().loss_probability = 0;
    simulation.world().network.options().copy_probability = 0;
  });
}

void changeEvery(Simulation& simulation, Duration interval, SimulatedOperator& who) {
  for (Duration when = interval; when < simulation.options().length; when += interval) {
    simulation.at(when, [&simulation, &who] { simulation.changeConfiguration(who); });
  }
}

void killLeaderAndRestart(Simulation& simulation, Duration when, Duration down) {
  simulation.at(when, [&simulation, down] {
    SimulatedControl* leader = simulation.leader();
    if (leader != nullptr) {
      leader->kill();
      simulation.world().events.after(down, [leader] { leader->restart(false); });
    }
  });
}

void slowDeepest(Simulation& simulation, Duration from, Duration to, double factor) {
  const std::string service = simulation.deepestService();
  simulation.at(from, [&simulation, service, factor] { simulation.setSlowdown(service, factor); });
  simulation.at(to, [&simulation, service] { simulation.setSlowdown(service, 1); });
}

void surge(Simulation& simulation, Duration from, Duration to, double factor) {
  simulation.at(from, [&simulation, factor] {
    simulation.callers().setRate(simulation.baseRate() * factor);
  });
  simulation.at(to, [&simulation] { simulation.callers().setRate(simulation.baseRate()); });
}

void wipeAndReadd(Simulation& simulation, SimulatedControl& control) {
  control.kill();
  control.restart(true);
  simulation.readd(control);
}

void drainAndRestore(Simulation& simulation, SimulatedDaemon& daemon, Duration when,
                     Duration length) {
  const auto change = [&simulation, &daemon](ChangeType type, HistoryEventType event) {
    ConfigurationChange wanted;
    wanted.type = type;
    wanted.name = daemon.name();
    simulation.firstOperator().change(
        {wanted}, [&simulation, &daemon, event](const std::optional<ControlReply>& reply) {
          if (reply && reply->result.error == ErrorKind::kNone) {
            simulation.world().record(simulation.world().event(event, daemon.name()));
          }
        });
  };
  simulation.at(when,
                [change] { change(ChangeType::kDrainServer, HistoryEventType::kBackendDraining); });
  simulation.at(when + length, [&simulation, &daemon, change] {
    // Its leaving is over as soon as it is asked back.
    simulation.world().record(
        simulation.world().event(HistoryEventType::kBackendStopped, daemon.name()));
    change(ChangeType::kRestoreServer, HistoryEventType::kBackendStopped);
  });
}

void stopAndRestart(Simulation& simulation, SimulatedDaemon& daemon, Duration when) {
  simulation.at(when, [&simulation, &daemon] {
    simulation.tellPlatform(daemon.name(), true);
    daemon.stopAsPlanned();
  });
  simulation.at(when + seconds(7), [&simulation, &daemon] {
    simulation.tellPlatform(daemon.name(), false);
    daemon.restart(true);
  });
}

Violations checkEverywhere(Simulation& simulation) {
  std::vector<RegisterOperation> operations = simulation.firstOperator().operations();
  const auto& others = simulation.secondOperator().operations();
  operations.insert(operations.end(), others.begin(), others.end());
  Violations violations = checkLinearizable(operations);
  const Violations late =
      checkConfiguration(simulation.world().history, simulation.serverNames(), kInForceWithin);
  violations.insert(violations.end(), late.begin(), late.end());
  return violations;
}

Violations violationIf(bool broken, const std::string& promise, Simulation& simulation,
                       const std::string& reason) {
  if (!broken) {
    return {};
  }
  return {{promise, simulation.world().now().count(), "", reason}};
}

Violations nothingMore(Simulation& /*simulation*/) {
  return {};
}
void usual(SimulationOptions& /*options*/) {}
void longWindDown(SimulationOptions& options) {
  options.wind_down = kCheckedWindDown;
}

// The runs' own faults, by name.

void provokeRetryBudget(Simulation& simulation) {
  disturbNetwork(simulation, 0.01, 0.01);
  for (int round = 0; round < 3; ++round) {
    killAndRestart(simulation, randomTime(simulation, seconds(1), seconds(8)), seconds(1));
  }
  const auto servers = simulation.serversOf(simulation.deepestService());
  simulation.at(seconds(2), [servers] { servers.front()->backend().setShedShare(0.5); });
}

void provokeLateAnswers(Simulation& simulation) {
  disturbNetwork(simulation, 0.02, 0.1);
  simulation.at(Duration(0),
                [&simulation] { simulation.world().network.options().jitter_share = 40; });
  slowDeepest(simulation, seconds(3), seconds(6), 4);
  for (int round = 0; round < 3; ++round) {
    freezeAndThaw(simulation, randomTime(simulation, seconds(1), seconds(7)), milliseconds(900));
  }
}

void provokeUntruth(Simulation& simulation) {
  disturbNetwork(simulation, 0.01, 0.2);
  surge(simulation, seconds(2), seconds(6), 4);
  for (int round = 0; round < 2; ++round) {
    killAndRestart(simulation, randomTime(simulation, seconds(1), seconds(8)), seconds(1));
    freezeAndThaw(simulation, randomTime(simulation, seconds(1), seconds(8)), milliseconds(700));
  }
}

void provokeDoubleRuns(Simulation& simulation) {
  disturbNetwork(simulation, 0.03, 0.1);
  for (int round = 0; round < 3; ++round) {
    killAndRestart(simulation, randomTime(simulation, seconds(1), seconds(8)), milliseconds(600));
    freezeAndThaw(simulation, randomTime(simulation, seconds(1), seconds(8)), milliseconds(1500));
  }
  killLeaderAndRestart(simulation, randomTime(simulation, seconds(2), seconds(7)), seconds(1));
  slowDeepest(simulation, seconds(4), seconds(7), 5);
}

void provokeDrain(Simulation& simulation) {
  drainAndRestore(simulation, simulation.randomDaemon(), seconds(1), seconds(6));
  SimulatedDaemon& leaving = simulation.randomDaemon();
  stopAndRestart(simulation, leaving, seconds(2));
}

void provokePlannedStops(Simulation& simulation) {
  const auto& daemons = simulation.daemons();
  for (std::size_t index = 0; index < 3; ++index) {
    SimulatedDaemon& daemon = *daemons[(index * 4 + simulation.options().seed) % daemons.size()];
    stopAndRestart(simulation, daemon, seconds(1) + milliseconds(1500) * static_cast<int>(index));
  }
}

void provokeOlderConfiguration(Simulation& simulation) {
  changeEvery(simulation, milliseconds(700), simulation.firstOperator());
  for (int round = 0; round < 3; ++round) {
    killAndRestart(simulation, randomTime(simulation, seconds(1), seconds(8)), milliseconds(800));
  }
  killLeaderAndRestart(simulation, randomTime(simulation, seconds(2), seconds(5)), seconds(2));
  simulation.at(seconds(5), [&simulation] {
    SimulatedControl* follower = simulation.randomFollower();
    if (follower != nullptr) {
      simulation.world().network.cutNode(follower->node());
      simulation.world().events.after(seconds(3), [&simulation, follower] {
        simulation.world().network.joinNode(follower->node());
      });
    }
  });
}

void provokeStorm(Simulation& simulation) {
  slowDeepest(simulation, seconds(2), seconds(5), 5);
  surge(simulation, seconds(2), seconds(5), 3);
}

// Whether the status of the leader that the others follow shows `silent` as not heard.
bool showsSilence(Simulation& simulation, const SimulatedControl& silent) {
  constexpr std::uint64_t kSilentMs = 5000;
  for (const auto& control : simulation.controls()) {
    if (control.get() == &silent || !control->leads()) {
      continue;
    }
    const ControlStatus status = control->core()->status(simulation.world().now());
    for (const MemberStatus& member : status.members) {
      const bool is_it = member.member.name == silent.name();
      if (is_it && (!member.heard || member.silent_ms > kSilentMs)) {
        return true;
      }
    }
  }
  return false;
}

void provokeControlCut(Simulation& simulation) {
  changeEvery(simulation, seconds(1), simulation.firstOperator());
  simulation.at(seconds(2), [&simulation] {
    SimulatedControl* leader = simulation.leader();
    if (leader == nullptr) {
      return;
    }
    simulation.world().network.cutNode(leader->node());
    simulation.world().events.after(kSilenceNoticed, [&simulation, leader] {
      if (!showsSilence(simulation, *leader)) {
        simulation.reportViolation("silence-shown",
                                   leader->name() + " is cut off and no status shows it");
      }
    });
    simulation.world().events.after(seconds(14), [&simulation, leader] {
      simulation.world().network.joinNode(leader->node());
    });
  });
}

void provokeOperatorRace(Simulation& simulation) {
  disturbNetwork(simulation, 0.05, 0);
  for (Duration when = milliseconds(500); when < simulation.options().length;
       when += milliseconds(500)) {
    simulation.at(when, [&simulation] {
      simulation.changeConfiguration(simulation.firstOperator());
      simulation.changeConfiguration(simulation.secondOperator());
    });
  }
}

void provokeSecondLoss(Simulation& simulation) {
  changeEvery(simulation, milliseconds(500), simulation.firstOperator());
  simulation.at(seconds(2), [&simulation] {
    SimulatedControl* wiped = simulation.randomFollower();
    if (wiped == nullptr) {
      return;
    }
    wipeAndReadd(simulation, *wiped);
    // Right after the repaired member votes again, another one is lost for good.
    const auto lose_another = std::make_shared<std::function<void()>>();
    *lose_another = [&simulation, wiped, lose_another] {
      const SimulatedControl* leader = simulation.leader();
      const bool votes = leader != nullptr && wiped->alive() &&
                         leader->core()->raft().membership().isVoter(wiped->core()->raft().id());
      if (!votes) {
        simulation.world().events.after(milliseconds(50), *lose_another);
        return;
      }
      for (const auto& control : simulation.controls()) {
        if (control.get() != wiped &&
            (control.get() != leader || simulation.random().chance(0.5))) {
          control->kill();
          return;
        }
      }
    };
    simulation.world().events.after(milliseconds(50), *lose_another);
  });
}

void provokeRestartAfterChanges(Simulation& simulation) {
  changeEvery(simulation, milliseconds(40), simulation.firstOperator());
  simulation.at(seconds(8), [&simulation] {
    for (const auto& control : simulation.controls()) {
      control->kill();
    }
    for (const auto& control : simulation.controls()) {
      control->restart(false);
    }
  });
}

void provokeZoneCut(Simulation& simulation) {
  changeEvery(simulation, milliseconds(900), simulation.firstOperator());
  const auto& daemons = simulation.daemons();
  const std::string zone = daemons[simulation.random().below(daemons.size())]->zone();
  simulation.at(seconds(2), [&simulation, zone] { simulation.world().network.cutZone(zone); });
  simulation.at(seconds(6), [&simulation, zone] { simulation.world().network.joinZone(zone); });
  for (const auto& daemon : daemons) {
    if (daemon->zone() == zone && simulation.random().chance(0.5)) {
      SimulatedDaemon* restarted = daemon.get();
      simulation.at(seconds(3), [restarted] { restarted->kill(); });
      simulation.at(seconds(4), [restarted] { restarted->restart(true); });
    }
  }
}

void provokeDiskLoss(Simulation& simulation) {
  changeEvery(simulation, milliseconds(100), simulation.firstOperator());
  for (int round = 0; round < 6; ++round) {
    const Duration when = seconds(1) + milliseconds(1200) * round;
    simulation.at(when, [&simulation] {
      auto& controls = simulation.controls();
      SimulatedControl* victim = controls[simulation.random().below(controls.size())].get();
      if (!victim->alive()) {
        return;
      }
      victim->failStorageAfter(simulation.random().below(12));
      simulation.world().events.after(milliseconds(700), [&simulation, victim] {
        if (victim->alive()) {
          victim->kill();
        }
        const bool refused = !victim->restart(false);
        if (refused) {
          // Damage that it refuses to guess about: the operator wipes it and adds it anew.
          victim->restart(true);
          simulation.readd(*victim);
        }
      });
    });
  }
  simulation.at(milliseconds(8600), [&simulation] {
    SimulatedControl* follower = simulation.randomFollower();
    if (follower != nullptr) {
      wipeAndReadd(simulation, *follower);
    }
  });
}

void provokeMisleadingHealth(Simulation& simulation) {
  for (const ServiceSpec& service : simulation.world().deployment.services) {
    const auto servers = simulation.serversOf(service.name);
    for (std::size_t index = 0; index < (servers.size() + 2) / 3; ++index) {
      SimulatedDaemon* daemon = servers[index];
      simulation.at(seconds(2), [daemon] {
        daemon->backend().setSlowdown(4);
        daemon->backend().setShedShare(0.3);
      });
      simulation.at(seconds(7), [daemon] {
        daemon->backend().setSlowdown(1);
        daemon->backend().setShedShare(0);
      });
    }
  }
}

void provokeEverything(Simulation& simulation) {
  Random& random = simulation.random();
  if (random.chance(0.5)) {
    disturbNetwork(simulation, 0.02 * random.uniform(), 0.1 * random.uniform());
  }
  changeEvery(simulation, milliseconds(800), simulation.firstOperator());
  if (random.chance(0.5)) {
    changeEvery(simulation, milliseconds(1100), simulation.secondOperator());
  }
  const std::uint64_t faults = 3 + random.below(4);
  for (std::uint64_t fault = 0; fault < faults; ++fault) {
    const Duration when = randomTime(simulation, seconds(1), seconds(8));
    switch (random.below(8)) {
      case 0:
        killAndRestart(simulation, when, milliseconds(300 + random.below(2000)));
        break;
      case 1:
        freezeAndThaw(simulation, when, milliseconds(300 + random.below(2500)));
        break;
      case 2:
        killLeaderAndRestart(simulation, when, milliseconds(300 + random.below(2000)));
        break;
      case 3:
        slowDeepest(simulation, when, when + seconds(2), 5);
        break;
      case 4:
        surge(simulation, when, when + seconds(2), 5);
        break;
      case 5: {
        const std::string zone = simulation.randomDaemon().zone();
        simulation.at(when, [&simulation, zone] { simulation.world().network.cutZone(zone); });
        simulation.at(when + seconds(3),
                      [&simulation, zone] { simulation.world().network.joinZone(zone); });
        break;
      }
      case 6:
        stopAndRestart(simulation, simulation.randomDaemon(), when);
        break;
      default:
        simulation.at(when, [&simulation] {
          SimulatedControl* follower = simulation.randomFollower();
          const bool all_alive =
              std::all_of(simulation.controls().begin(), simulation.controls().end(),
                          [](const auto& control) { return control->alive(); });
          if (follower != nullptr && all_alive) {
            wipeAndReadd(simulation, *follower);
          }
        });
        break;
    }
  }
}

std::vector<Scenario> makeScenarios() {
  std::vector<Scenario> all;
  const auto hard = [](SimulationOptions& options) {
    options.retry = ClientRetry::kHard;
    options.client_retries = 5;
  };
  const auto hard_and_long = [hard](SimulationOptions& options) {
    hard(options);
    options.wind_down = kCheckedWindDown;
  };
  all.push_back({"retry-budget", "lost answers, kills and a shedding back end in a deep chain",
                 [](SimulationOptions& options) { options.load = 0.7; }, provokeRetryBudget,
                 nothingMore, false, "without-chain-allowance"});
  all.push_back({"shed-order", "twice the capacity while the deepest service runs at a third",
                 [](SimulationOptions& options) {
                   options.load = 0.8;
                   options.retry = ClientRetry::kNone;
                 },
                 [](Simulation& simulation) {
                   slowDeepest(simulation, seconds(2), seconds(9), 3);
                   surge(simulation, seconds(2), seconds(9), 2);
                 },
                 [](Simulation& simulation) {
                   const auto start = simulation.loadStart();
                   return checkShedOrder(simulation.world().history,
                                         simulation.worksReaching(simulation.deepestService()),
                                         (start + seconds(3)).count(), (start + seconds(9)).count(),
                                         kShedMargin);
                 },
                 false, "without-levels"});
  all.push_back({"response-ownership", "answers late, lost and out of order, copies, freezes", hard,
                 provokeLateAnswers, nothingMore, false, ""});
  all.push_back({"not-run-truth", "refusals under a surge while copies of calls turn up late", hard,
                 provokeUntruth, nothingMore, false, "without-copy-check"});
  all.push_back({"at-most-once", "kills, freezes, losses, copies and impatient callers", hard,
                 provokeDoubleRuns, nothingMore, false, "without-claims"});
  all.push_back({"drain-leaving", "servers drained by the operator and by their own stop", usual,
                 provokeDrain, nothingMore, false, "without-drain"});
  all.push_back({"planned-stop", "servers stop as planned under load, one after another", usual,
                 provokePlannedStops, nothingMore, true, ""});
  all.push_back({"config-monotonic", "changes while daemons restart and control members fail",
                 longWindDown, provokeOlderConfiguration, checkEverywhere, false,
                 "without-configuration-order"});
  all.push_back({"deep-slowdown", "the deepest service slows to a fifth for three seconds",
                 [](SimulationOptions& options) { options.load = 0.7; },
                 [](Simulation& simulation) { slowDeepest(simulation, seconds(2), seconds(5), 5); },
                 nothingMore, false, ""});
  all.push_back({"surge", "ten times the demand for three seconds",
                 [](SimulationOptions& options) { options.load = 0.7; },
                 [](Simulation& simulation) { surge(simulation, seconds(2), seconds(5), 10); },
                 nothingMore, false, ""});
  all.push_back({"retry-storm", "slowdown, surge and callers that retry without pause",
                 [hard](SimulationOptions& options) {
                   hard(options);
                   options.load = 0.7;
                 },
                 provokeStorm, nothingMore, false, ""});
  all.push_back({"control-cut", "the leading control member is cut off in silence for 14 s",
                 [](SimulationOptions& options) {
                   options.length = seconds(16);
                   options.load = 0.2;
                   options.wind_down = kCheckedWindDown;
                 },
                 provokeControlCut, checkEverywhere, false, ""});
  all.push_back({"operator-race", "two operators change the same version, answers are lost",
                 longWindDown, provokeOperatorRace, checkEverywhere, false, ""});
  all.push_back({"second-loss-after-repair", "a member is lost right after another was repaired",
                 longWindDown, provokeSecondLoss, checkEverywhere, false, ""});
  all.push_back({"restart-after-changes", "the whole group restarts after hundreds of changes",
                 [](SimulationOptions& options) {
                   options.load = 0.1;
                   options.wind_down = kCheckedWindDown;
                 },
                 provokeRestartAfterChanges, checkEverywhere, false, ""});
  all.push_back({"zone-cut", "a zone is cut off while daemons in it restart", longWindDown,
                 provokeZoneCut, checkEverywhere, false, ""});
  all.push_back({"disk-loss", "control members lose power between any two writes; a disk is wiped",
                 [](SimulationOptions& options) {
                   options.load = 0.1;
                   options.wind_down = kCheckedWindDown;
                 },
                 provokeDiskLoss, checkEverywhere, false, ""});
  all.push_back({"misleading-health", "a third of all servers slow and shedding, health unchanged",
                 usual, provokeMisleadingHealth, nothingMore, false, ""});
  all.push_back({"everything", "several faults at once, at any moment", hard_and_long,
                 provokeEverything, checkEverywhere, false, ""});
  return all;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> kScenarios = makeScenarios();
  return kScenarios;
}

const Scenario* findScenario(const std::string& name) {
  const auto found = std::find_if(scenarios().begin(), scenarios().end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == scenarios().end() ? nullptr : &*found;
}

ScenarioResult runScenario(const Scenario& scenario, const Deployment& deployment,
                           std::uint64_t seed, const std::string& policy) {
  SimulationOptions options;
  options.seed = seed;
  options.policy = policy;
  scenario.configure(options);
  Simulation simulation(deployment, options);
  scenario.provoke(simulation);
  ScenarioResult result;
  result.failure = simulation.run();
  result.history = simulation.world().history;
  const auto add = [&result](const Violations& found) {
    result.violations.insert(result.violations.end(), found.begin(), found.end());
  };
  add(checkResponseOwnership(result.history));
  add(checkNotRunTruth(result.history));
  add(checkAtMostOnce(result.history));
  add(checkRetryAllowance(result.history, deployment.retry_allowance));
  add(checkDraining(result.history, kDrainGrace));
  add(checkOneWinner(result.history));
  add(checkConfiguration(result.history, {}, kInForceWithin));
  if (scenario.nothing_cut_off) {
    add(checkNothingCutOff(result.history));
  }
  if (!result.failure) {
    add(scenario.check(simulation));
    add(simulation.reportedViolations());
    add(violationIf(simulation.callers().open() != 0, "request-ends", simulation,
                    std::to_string(simulation.callers().open()) + " front requests never ended"));
  }
  for (const HistoryEvent& event : result.history) {
    result.front_requests += event.type == HistoryEventType::kCallerSent ? 1 : 0;
    const bool whole = event.type == HistoryEventType::kCallerAnswered && event.number == 200;
    result.completed += whole ? 1 : 0;
  }
  return result;
}

}  // namespace ramppond
