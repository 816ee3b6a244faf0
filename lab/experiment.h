// Policies under triggers: goodput, recovery and waste over many seeds, in the simulator.
#pragma once

#include <array>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "lab/simulation/simulation.h"

namespace ramppond {

/// What an experiment file asks for.
struct ExperimentSpec {
  std::vector<std::string> deployment_paths;
  std::vector<std::string> policies;
  std::vector<std::string> triggers;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  double load = 0.7;  ///< Of the capacity, while no trigger acts.
  Duration before{0};
  Duration trigger{0};
  Duration after{0};
};

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<ExperimentSpec> readExperiment(const std::string& path, std::string& error);

/// Names of the triggers, each with its meaning.
struct TriggerInfo {
  std::string name;
  std::string meaning;
};
std::vector<TriggerInfo> triggerInfos();

/// Figures of one run.
struct RunResult {
  std::string deployment;
  std::string policy;
  std::string trigger;
  std::uint64_t seed = 0;
  bool came_up = false;
  /// Slot time of completed requests per second while the trigger acted, from 0.5 s on, as a
  /// fraction of the best steady value of the deployment.
  double goodput = 0;
  std::array<double, kWorkKinds> completed_share{};  ///< Of those offered during the trigger.
  std::array<double, kWorkKinds> refused_share{};
  double calm_share = 0;                   ///< Completed of those offered before the trigger.
  std::optional<double> recovery_seconds;  ///< Nothing if it did not recover within the run.
  double wasted_share = 0;                 ///< Of all slot time, for requests that then failed.
  double retries_per_request = 0;
  std::uint64_t most_retries = 0;
  double lookup_p50_ms = 0;
  double lookup_p99_ms = 0;
  double commit_p50_ms = 0;
  double commit_p99_ms = 0;
  /// Completed share of the class with the highest weight over that of the lowest, in the trigger.
  double class_ratio = 0;
  std::vector<double> goodput_series;  ///< Completed over offered, a value per 100 ms.
};

/// The most slot time of completed requests per second that a deployment reaches in steady load,
/// over several loads and policies, in microseconds.
double bestSteadyUsefulRate(const Deployment& deployment);

RunResult runExperiment(const ExperimentSpec& spec, const Deployment& deployment,
                        const std::string& policy, const std::string& trigger, std::uint64_t seed,
                        double best_useful_rate);

/// Runs everything on all cores, with progress. The order of the results is that of the spec.
std::optional<std::vector<RunResult>> runAll(const ExperimentSpec& spec, std::ostream& progress);

}  // namespace ramppond
