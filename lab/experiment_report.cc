#include "lab/experiment_report.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace ramppond {
namespace {

/// Mean and standard deviation of one figure over the seeds.
struct Spread {
  double mean = 0;
  double deviation = 0;
};

/// All runs of one deployment, trigger and policy.
struct Cell {
  std::string deployment;
  std::string trigger;
  std::string policy;
  std::vector<const RunResult*> runs;

  template <class Figure>
  [[nodiscard]] Spread spread(Figure figure) const {
    double sum = 0;
    double squares = 0;
    for (const RunResult* run : runs) {
      const double value = figure(*run);
      sum += value;
      squares += value * value;
    }
    const auto count = static_cast<double>(runs.size());
    const double mean = sum / count;
    return {mean, std::sqrt(std::max(0.0, squares / count - mean * mean))};
  }
  [[nodiscard]] std::size_t recovered() const {
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(),
                      [](const RunResult* run) { return run->recovery_seconds.has_value(); }));
  }
  /// Over the runs that recovered.
  [[nodiscard]] Spread recovery() const {
    Cell only = *this;
    only.runs.erase(std::remove_if(only.runs.begin(), only.runs.end(),
                                   [](const RunResult* run) { return !run->recovery_seconds; }),
                    only.runs.end());
    return only.runs.empty()
               ? Spread{}
               : only.spread([](const RunResult& run) { return *run.recovery_seconds; });
  }
};

std::vector<Cell> cellsOf(const std::vector<RunResult>& results) {
  std::vector<Cell> cells;
  for (const RunResult& run : results) {
    const bool same = !cells.empty() && cells.back().deployment == run.deployment &&
                      cells.back().trigger == run.trigger && cells.back().policy == run.policy;
    if (!same) {
      cells.push_back({run.deployment, run.trigger, run.policy, {}});
    }
    cells.back().runs.push_back(&run);
  }
  return cells;
}

bool writeRuns(const std::vector<RunResult>& results, const std::string& path) {
  std::ofstream file(path);
  file << "deployment,trigger,policy,seed,came_up,goodput,commit_completed,lookup_completed,"
          "bulk_completed,commit_refused,lookup_refused,bulk_refused,calm_share,recovery_s,"
          "wasted,retries_per_request,most_retries,lookup_p50_ms,lookup_p99_ms,commit_p50_ms,"
          "commit_p99_ms,class_ratio\n";
  for (const RunResult& run : results) {
    file << run.deployment << ',' << run.trigger << ',' << run.policy << ',' << run.seed << ','
         << run.came_up << ',' << run.goodput;
    for (const double share : run.completed_share) {
      file << ',' << share;
    }
    for (const double share : run.refused_share) {
      file << ',' << share;
    }
    file << ',' << run.calm_share << ',';
    if (run.recovery_seconds) {
      file << *run.recovery_seconds;
    }
    file << ',' << run.wasted_share << ',' << run.retries_per_request << ',' << run.most_retries
         << ',' << run.lookup_p50_ms << ',' << run.lookup_p99_ms << ',' << run.commit_p50_ms << ','
         << run.commit_p99_ms << ',' << run.class_ratio << '\n';
  }
  return file.good();
}

nlohmann::ordered_json jsonOf(const Spread& spread) {
  return {{"mean", spread.mean}, {"deviation", spread.deviation}};
}

bool writeSummary(const std::vector<Cell>& cells, const std::string& path) {
  nlohmann::ordered_json document = nlohmann::ordered_json::array();
  for (const Cell& cell : cells) {
    nlohmann::ordered_json item;
    item["deployment"] = cell.deployment;
    item["trigger"] = cell.trigger;
    item["policy"] = cell.policy;
    item["seeds"] = cell.runs.size();
    item["goodput"] = jsonOf(cell.spread([](const RunResult& run) { return run.goodput; }));
    item["calm_share"] = jsonOf(cell.spread([](const RunResult& run) { return run.calm_share; }));
    item["wasted"] = jsonOf(cell.spread([](const RunResult& run) { return run.wasted_share; }));
    item["retries_per_request"] =
        jsonOf(cell.spread([](const RunResult& run) { return run.retries_per_request; }));
    item["recovered"] = cell.recovered();
    item["recovery_s"] = jsonOf(cell.recovery());
    document.push_back(std::move(item));
  }
  std::ofstream file(path);
  file << document.dump(2) << '\n';
  return file.good();
}

// A column for each cell: the mean goodput over the seeds, a row per 100 ms.
bool writeSeries(const std::vector<Cell>& cells, const std::string& path) {
  std::ofstream file(path);
  std::size_t rows = 0;
  file << "second";
  for (const Cell& cell : cells) {
    file << ',' << cell.deployment << '/' << cell.trigger << '/' << cell.policy;
    for (const RunResult* run : cell.runs) {
      rows = std::max(rows, run->goodput_series.size());
    }
  }
  file << '\n';
  for (std::size_t row = 0; row < rows; ++row) {
    file << static_cast<double>(row) / 10;
    for (const Cell& cell : cells) {
      const Spread spread = cell.spread([row](const RunResult& run) {
        return row < run.goodput_series.size() ? run.goodput_series[row] : 0.0;
      });
      file << ',' << spread.mean;
    }
    file << '\n';
  }
  return file.good();
}

bool writePlots(const ExperimentSpec& spec, const std::vector<Cell>& cells,
                const std::string& path) {
  std::ofstream file(path);
  const double from = static_cast<double>(spec.before.count()) / 1e6;
  const double to = from + static_cast<double>(spec.trigger.count()) / 1e6;
  file << "set datafile separator ','\nset terminal pngcairo size 900,420\n"
          "set xlabel 'seconds'\nset ylabel 'goodput, fraction of best steady'\n"
          "set yrange [0:1.3]\nset key top right\n"
       << "set object 1 rectangle from " << from << ",0 to " << to
       << ",1.3 fillcolor rgb '#eeeeee' behind\n";
  for (std::size_t first = 0; first < cells.size();) {
    std::size_t last = first;
    while (last < cells.size() && cells[last].deployment == cells[first].deployment &&
           cells[last].trigger == cells[first].trigger) {
      ++last;
    }
    const std::string name = cells[first].deployment + "-" + cells[first].trigger;
    file << "set output '" << name << ".png'\nset title '" << name << "'\nplot ";
    for (std::size_t index = first; index < last; ++index) {
      file << (index == first ? "" : ", ") << "'series.csv' using 1:" << index + 2
           << " every ::1 with lines linewidth 2 title '" << cells[index].policy << "'";
    }
    file << '\n';
    first = last;
  }
  return file.good();
}

}  // namespace

bool writeReport(const ExperimentSpec& spec, const std::vector<RunResult>& results,
                 const std::string& folder) {
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  const std::vector<Cell> cells = cellsOf(results);
  return writeRuns(results, folder + "/runs.csv") &&
         writeSummary(cells, folder + "/summary.json") &&
         writeSeries(cells, folder + "/series.csv") && writePlots(spec, cells, folder + "/plot.gp");
}

void printSummary(const std::vector<RunResult>& results, std::ostream& output) {
  output << "deployment trigger policy goodput commit lookup bulk calm recovered recovery_s wasted "
            "retries most commit_p99 lookup_p99 class\n";
  for (const Cell& cell : cellsOf(results)) {
    const auto print = [&](const Spread& spread) {
      output << ' ' << spread.mean << "+-" << spread.deviation;
    };
    const auto mean = [&](auto figure) { output << ' ' << cell.spread(figure).mean; };
    output << cell.deployment << ' ' << cell.trigger << ' ' << cell.policy << std::fixed
           << std::setprecision(3);
    print(cell.spread([](const RunResult& run) { return run.goodput; }));
    for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
      mean([kind](const RunResult& run) { return run.completed_share.at(kind); });
    }
    mean([](const RunResult& run) { return run.calm_share; });
    output << ' ' << cell.recovered() << '/' << cell.runs.size();
    print(cell.recovery());
    print(cell.spread([](const RunResult& run) { return run.wasted_share; }));
    mean([](const RunResult& run) { return run.retries_per_request; });
    double most = 0;
    for (const RunResult* run : cell.runs) {
      most = std::max(most, static_cast<double>(run->most_retries));
    }
    output << std::setprecision(0) << ' ' << most;
    mean([](const RunResult& run) { return run.commit_p99_ms; });
    mean([](const RunResult& run) { return run.lookup_p99_ms; });
    output << std::setprecision(2);
    mean([](const RunResult& run) { return run.class_ratio; });
    output << '\n';
  }
}

}  // namespace ramppond
