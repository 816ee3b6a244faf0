// A page of counters and gauges in Prometheus text format, and the same as a page for a browser.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ramppond {

enum class MetricKind { kCounter, kGauge };

struct Metric {
  std::string name;  ///< Without the prefix "ramppond_".
  std::string help;
  MetricKind kind = MetricKind::kCounter;
  double value = 0;
};

/// Collects what one process shows of itself.
class MetricsPage {
 public:
  void counter(const std::string& name, const std::string& help, std::uint64_t value);
  void gauge(const std::string& name, const std::string& help, double value);
  /// Resident memory and processor time of this process.
  void addProcessMetrics();

  /// Prometheus text exposition format 0.0.4.
  [[nodiscard]] std::string prometheusText() const;
  /// A small HTML table with `title`.
  [[nodiscard]] std::string html(const std::string& title) const;

 private:
  std::vector<Metric> metrics_;
};

/// The value of metric `name` (without prefix) in a Prometheus text page.
std::optional<double> metricIn(const std::string& page, const std::string& name);

/// Resident memory in bytes and processor time in seconds of a process.
struct ProcessUsage {
  double resident_bytes = 0;
  double processor_seconds = 0;
};

/// Reads /proc of process `pid`; 0 for this process.
ProcessUsage processUsage(int pid);

}  // namespace ramppond
