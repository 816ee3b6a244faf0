#include "lab/experiment.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <ostream>
#include <thread>

#include "common/settings.h"

namespace ramppond {
namespace {

constexpr Duration kSettle = milliseconds(500);
constexpr Duration kRecoveryWindow = seconds(1);
constexpr double kRecoveredShare = 0.95;
constexpr double kSlowdown = 5;
constexpr std::uint32_t kHardRetries = 5;
constexpr Duration kCalibration = seconds(2);

std::size_t bucketOf(Duration time) {
  return static_cast<std::size_t>(time / kBucket);
}

struct KindTotals {
  double offered = 0;
  double completed = 0;
  double refused = 0;
  double useful_us = 0;
};

KindTotals totalsOf(const RunFigures& figures, std::size_t kind, Duration from, Duration to) {
  KindTotals totals;
  const auto& buckets = figures.buckets.at(kind);
  const std::size_t end = std::min(buckets.size(), bucketOf(to));
  for (std::size_t index = bucketOf(from); index < end; ++index) {
    totals.offered += static_cast<double>(buckets[index].offered);
    totals.completed += static_cast<double>(buckets[index].completed);
    totals.refused += static_cast<double>(buckets[index].refused);
    totals.useful_us += buckets[index].useful_us;
  }
  return totals;
}

KindTotals totalsOf(const RunFigures& figures, Duration from, Duration to) {
  KindTotals all;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const KindTotals totals = totalsOf(figures, kind, from, to);
    all.offered += totals.offered;
    all.completed += totals.completed;
    all.refused += totals.refused;
    all.useful_us += totals.useful_us;
  }
  return all;
}

double ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double percentileMs(std::vector<std::int64_t> values_us, double share) {
  if (values_us.empty()) {
    return 0;
  }
  std::sort(values_us.begin(), values_us.end());
  const auto last = static_cast<double>(values_us.size() - 1);
  return static_cast<double>(values_us[static_cast<std::size_t>(share * last)]) / 1000;
}

// First moment after which every window completes its share of what is offered.
std::optional<double> recoverySeconds(const RunFigures& figures, Duration trigger_end,
                                      Duration load_end, double calm_share) {
  std::optional<Duration> recovered;
  for (Duration start = trigger_end; start + kRecoveryWindow <= load_end; start += kBucket) {
    const KindTotals window = totalsOf(figures, start, start + kRecoveryWindow);
    const bool good = window.completed >= kRecoveredShare * calm_share * window.offered;
    if (!good) {
      recovered.reset();
    } else if (!recovered) {
      recovered = start - trigger_end;
    }
  }
  if (!recovered) {
    return std::nullopt;
  }
  return static_cast<double>(recovered->count()) / 1e6;
}

using TriggerAction = std::function<void(Simulation&, Duration from, Duration to)>;

struct Trigger {
  std::string meaning;
  TriggerAction act;
};

void slow(Simulation& simulation, Duration from, Duration to) {
  const std::string service = simulation.deepestService();
  simulation.at(from, [&simulation, service] { simulation.setSlowdown(service, kSlowdown); });
  simulation.at(to, [&simulation, service] { simulation.setSlowdown(service, 1); });
}

void raiseDemand(Simulation& simulation, Duration from, Duration to, double factor) {
  simulation.at(from, [&simulation, factor] {
    simulation.callers().setRate(simulation.baseRate() * factor);
  });
  simulation.at(to, [&simulation] { simulation.callers().setRate(simulation.baseRate()); });
}

void retryHard(Simulation& simulation, Duration from, Duration to) {
  const SimulationOptions options = simulation.options();
  simulation.at(from,
                [&simulation] { simulation.callers().setRetry(ClientRetry::kHard, kHardRetries); });
  simulation.at(to, [&simulation, options] {
    simulation.callers().setRetry(options.retry, options.client_retries);
  });
}

void lose(Simulation& simulation, const std::vector<SimulatedDaemon*>& servers, Duration from,
          Duration to) {
  for (SimulatedDaemon* server : servers) {
    simulation.at(from, [server] { server->kill(); });
    simulation.at(to, [server] { server->restart(true); });
  }
}

void loseThird(Simulation& simulation, Duration from, Duration to) {
  std::vector<SimulatedDaemon*> servers = simulation.serversOf(simulation.deepestService());
  servers.resize(std::max<std::size_t>(1, servers.size() / 3));
  lose(simulation, servers, from, to);
}

void loseZone(Simulation& simulation, Duration from, Duration to) {
  const std::string zone = simulation.daemons().front()->zone();
  std::vector<SimulatedDaemon*> servers;
  for (const auto& daemon : simulation.daemons()) {
    if (daemon->zone() == zone) {
      servers.push_back(daemon.get());
    }
  }
  lose(simulation, servers, from, to);
}

const std::map<std::string, Trigger>& triggers() {
  static const std::map<std::string, Trigger> kTriggers = {
      {"calm", {"nothing happens", [](Simulation&, Duration, Duration) {}}},
      {"slowdown", {"the deepest service slows to a fifth", slow}},
      {"surge-3",
       {"three times the demand", [](Simulation& simulation, Duration from,
                                     Duration to) { raiseDemand(simulation, from, to, 3); }}},
      {"surge-10",
       {"ten times the demand", [](Simulation& simulation, Duration from,
                                   Duration to) { raiseDemand(simulation, from, to, 10); }}},
      {"surge-10-hard",
       {"ten times the demand, callers retry five times without pause",
        [](Simulation& simulation, Duration from, Duration to) {
          raiseDemand(simulation, from, to, 10);
          retryHard(simulation, from, to);
        }}},
      {"retries",
       {"the deepest service slows to a fifth, callers retry five times without pause",
        [](Simulation& simulation, Duration from, Duration to) {
          slow(simulation, from, to);
          retryHard(simulation, from, to);
        }}},
      {"third-lost", {"a third of the deepest service's servers is lost", loseThird}},
      {"zone-lost", {"all servers of a zone are lost", loseZone}},
      {"storm",
       {"slowdown, three times the demand and hard retries at once",
        [](Simulation& simulation, Duration from, Duration to) {
          slow(simulation, from, to);
          raiseDemand(simulation, from, to, 3);
          retryHard(simulation, from, to);
        }}},
  };
  return kTriggers;
}

double classRatio(const RunFigures& figures, const Deployment& deployment) {
  const ClassSpec* highest = nullptr;
  const ClassSpec* lowest = nullptr;
  for (const ClassSpec& spec : deployment.classes) {
    const std::uint32_t weight = spec.priority_class.weight;
    highest = highest == nullptr || weight > highest->priority_class.weight ? &spec : highest;
    lowest = lowest == nullptr || weight < lowest->priority_class.weight ? &spec : lowest;
  }
  if (highest == nullptr || highest == lowest) {
    return 1;
  }
  const auto share = [&](const ClassSpec& spec) {
    const std::string& name = spec.priority_class.name;
    const auto completed = figures.completed_by_class.find(name);
    const auto offered = figures.offered_by_class.find(name);
    const bool known =
        completed != figures.completed_by_class.end() && offered != figures.offered_by_class.end();
    return known
               ? ratio(static_cast<double>(completed->second), static_cast<double>(offered->second))
               : 0.0;
  };
  return ratio(share(*highest), share(*lowest));
}

SimulationOptions simulationOptions(const ExperimentSpec& spec, const std::string& policy,
                                    std::uint64_t seed) {
  SimulationOptions options;
  options.policy = policy;
  options.seed = seed;
  options.load = spec.load;
  options.length = spec.before + spec.trigger + spec.after;
  options.wind_down = seconds(2);
  options.keep_history = false;
  return options;
}

}  // namespace

std::optional<ExperimentSpec> readExperiment(const std::string& path, std::string& error) {
  SettingsFile file(path);
  SettingsTable root = file.root();
  ExperimentSpec spec;
  const auto fromSeconds = [](double value) {
    return Duration(static_cast<std::int64_t>(value * 1e6));
  };
  spec.deployment_paths = root.strings("deployments");
  spec.policies = root.strings("policies");
  spec.triggers = root.strings("triggers");
  spec.first_seed = static_cast<std::uint64_t>(root.requiredInteger("first_seed", {1, 1000000000}));
  spec.last_seed = static_cast<std::uint64_t>(root.requiredInteger("last_seed", {1, 1000000000}));
  spec.load = root.optionalNumber("load", spec.load, {0.01, 2});
  spec.before = fromSeconds(root.optionalNumber("before_s", 2, {1, 600}));
  spec.trigger = fromSeconds(root.optionalNumber("trigger_s", 2, {1, 600}));
  spec.after = fromSeconds(root.optionalNumber("after_s", 6, {2, 600}));
  for (const std::string& policy : spec.policies) {
    if (!findOverloadPolicy(policy)) {
      root.reject("policies", "expected known policies, not " + policy);
    }
  }
  for (const std::string& trigger : spec.triggers) {
    if (triggers().count(trigger) == 0) {
      root.reject("triggers", "expected known triggers, not " + trigger);
    }
  }
  if (spec.last_seed < spec.first_seed) {
    root.reject("last_seed", "expected a number of at least first_seed");
  }
  root.finish();
  if (file.error()) {
    error = *file.error();
    return std::nullopt;
  }
  return spec;
}

std::vector<TriggerInfo> triggerInfos() {
  std::vector<TriggerInfo> infos;
  for (const auto& [name, trigger] : triggers()) {
    infos.push_back({name, trigger.meaning});
  }
  return infos;
}

double bestSteadyUsefulRate(const Deployment& deployment) {
  const auto usefulRate = [&deployment](const char* policy, double load) {
    SimulationOptions options;
    options.policy = policy;
    options.load = load;
    options.length = kSettle + kCalibration;
    options.wind_down = seconds(1);
    options.retry = ClientRetry::kNone;
    options.keep_history = false;
    Simulation simulation(deployment, options);
    if (simulation.run()) {
      return 0.0;
    }
    const Duration start = simulation.loadStart() + kSettle;
    const KindTotals totals =
        totalsOf(simulation.world().recorder.figures(), start, start + kCalibration);
    return totals.useful_us * 1e6 / static_cast<double>(kCalibration.count());
  };
  std::vector<std::future<double>> rates;
  for (const char* policy : {"none", "ramppond"}) {
    for (const double load : {0.9, 1.0}) {
      rates.push_back(std::async(std::launch::async, usefulRate, policy, load));
    }
  }
  double best = 0;
  for (std::future<double>& rate : rates) {
    best = std::max(best, rate.get());
  }
  return best;
}

RunResult runExperiment(const ExperimentSpec& spec, const Deployment& deployment,
                        const std::string& policy, const std::string& trigger, std::uint64_t seed,
                        double best_useful_rate) {
  RunResult result;
  result.deployment = deployment.name;
  result.policy = policy;
  result.trigger = trigger;
  result.seed = seed;
  Simulation simulation(deployment, simulationOptions(spec, policy, seed));
  triggers().at(trigger).act(simulation, spec.before, spec.before + spec.trigger);
  if (simulation.run()) {
    return result;
  }
  result.came_up = true;
  const RunFigures figures = simulation.world().recorder.figures();
  const Duration start = simulation.loadStart();
  const Duration trigger_start = start + spec.before;
  const Duration trigger_end = trigger_start + spec.trigger;
  const KindTotals calm = totalsOf(figures, start + kSettle, trigger_start);
  result.calm_share = std::min(1.0, ratio(calm.completed, calm.offered));
  const KindTotals loaded = totalsOf(figures, trigger_start + kSettle, trigger_end);
  const auto loaded_seconds = static_cast<double>((spec.trigger - kSettle).count()) / 1e6;
  result.goodput = ratio(loaded.useful_us / loaded_seconds, best_useful_rate);
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const KindTotals totals = totalsOf(figures, kind, trigger_start + kSettle, trigger_end);
    result.completed_share.at(kind) = ratio(totals.completed, totals.offered);
    result.refused_share.at(kind) = ratio(totals.refused, totals.offered);
  }
  result.recovery_seconds =
      recoverySeconds(figures, trigger_end, trigger_end + spec.after, result.calm_share);
  result.wasted_share =
      figures.slot_us_total > 0 ? 1 - figures.slot_us_useful / figures.slot_us_total : 0;
  result.retries_per_request =
      ratio(static_cast<double>(figures.retries), static_cast<double>(figures.front_requests));
  result.most_retries = figures.most_retries;
  const auto& commits = figures.latencies_us.at(static_cast<std::size_t>(WorkKind::kCommitOnce));
  const auto& lookups = figures.latencies_us.at(static_cast<std::size_t>(WorkKind::kLookup));
  result.commit_p50_ms = percentileMs(commits, 0.5);
  result.commit_p99_ms = percentileMs(commits, 0.99);
  result.lookup_p50_ms = percentileMs(lookups, 0.5);
  result.lookup_p99_ms = percentileMs(lookups, 0.99);
  result.class_ratio = classRatio(figures, deployment);
  for (Duration time = start; time < trigger_end + spec.after; time += kBucket) {
    const KindTotals bucket = totalsOf(figures, time, time + kBucket);
    result.goodput_series.push_back(bucket.useful_us * 10 / best_useful_rate);
  }
  return result;
}

std::optional<std::vector<RunResult>> runAll(const ExperimentSpec& spec, std::ostream& progress) {
  struct Job {
    const Deployment* deployment;
    double best;
    std::string policy;
    std::string trigger;
    std::uint64_t seed;
  };
  std::vector<Deployment> deployments;
  for (const std::string& path : spec.deployment_paths) {
    std::string error;
    auto deployment = readDeployment(path, error);
    if (!deployment) {
      progress << error << '\n';
      return std::nullopt;
    }
    deployments.push_back(std::move(*deployment));
  }
  std::vector<Job> jobs;
  for (const Deployment& deployment : deployments) {
    const double best = bestSteadyUsefulRate(deployment);
    progress << deployment.name << ": best steady work " << best / 1e6 << " slots" << std::endl;
    for (const std::string& trigger : spec.triggers) {
      for (const std::string& policy : spec.policies) {
        for (std::uint64_t seed = spec.first_seed; seed <= spec.last_seed; ++seed) {
          jobs.push_back({&deployment, best, policy, trigger, seed});
        }
      }
    }
  }
  std::vector<RunResult> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::vector<std::thread> workers;
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned worker = 0; worker < cores; ++worker) {
    workers.emplace_back([&] {
      for (std::size_t index = next++; index < jobs.size(); index = next++) {
        const Job& job = jobs[index];
        results[index] =
            runExperiment(spec, *job.deployment, job.policy, job.trigger, job.seed, job.best);
        constexpr std::size_t kProgressStep = 100;
        if ((index + 1) % kProgressStep == 0) {
          const std::lock_guard<std::mutex> lock(mutex);
          progress << index + 1 << " of " << jobs.size() << " runs" << std::endl;
        }
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return results;
}

}  // namespace ramppond
