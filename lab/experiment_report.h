// CSV, JSON and plot files of an experiment.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "lab/experiment.h"

namespace ramppond {

/// Writes runs.csv, summary.json, series.csv and plot.gp (for gnuplot) into `folder`. False if a
/// file cannot be written.
bool writeReport(const ExperimentSpec& spec, const std::vector<RunResult>& results,
                 const std::string& folder);

/// One line for each deployment, trigger and policy.
void printSummary(const std::vector<RunResult>& results, std::ostream& output);

}  // namespace ramppond
