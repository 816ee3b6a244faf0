#include "common/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace ramppond {

void MetricsPage::counter(const std::string& name, const std::string& help, std::uint64_t value) {
  metrics_.push_back({name, help, MetricKind::kCounter, static_cast<double>(value)});
}

void MetricsPage::gauge(const std::string& name, const std::string& help, double value) {
  metrics_.push_back({name, help, MetricKind::kGauge, value});
}

void MetricsPage::addProcessMetrics() {
  const ProcessUsage usage = processUsage(0);
  gauge("process_resident_bytes", "Resident memory.", usage.resident_bytes);
  gauge("process_cpu_seconds", "Processor time used since the start.", usage.processor_seconds);
}

std::string MetricsPage::prometheusText() const {
  std::vector<prometheus::MetricFamily> families;
  for (const Metric& metric : metrics_) {
    prometheus::MetricFamily family;
    family.name = "ramppond_" + metric.name;
    family.help = metric.help;
    prometheus::ClientMetric sample;
    if (metric.kind == MetricKind::kCounter) {
      family.type = prometheus::MetricType::Counter;
      sample.counter.value = metric.value;
    } else {
      family.type = prometheus::MetricType::Gauge;
      sample.gauge.value = metric.value;
    }
    family.metric.push_back(sample);
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

std::string MetricsPage::html(const std::string& title) const {
  std::ostringstream page;
  page << "<!doctype html><html><head><meta charset=\"utf-8\"><title>" << title
       << "</title><style>body{font-family:sans-serif}td{padding:2px 12px}"
          "td.v{text-align:right;font-family:monospace}</style></head><body><h1>"
       << title << "</h1><table>";
  for (const Metric& metric : metrics_) {
    std::ostringstream value;
    value.precision(15);
    value << metric.value;
    page << "<tr><td>" << metric.name << "</td><td class=\"v\">" << value.str() << "</td><td>"
         << metric.help << "</td></tr>\n";
  }
  page << "</table></body></html>\n";
  return page.str();
}

ProcessUsage processUsage(int pid) {
  const std::string folder = "/proc/" + (pid == 0 ? std::string("self") : std::to_string(pid));
  ProcessUsage usage;
  std::ifstream memory(folder + "/statm");
  double total_pages = 0;
  double resident_pages = 0;
  if (memory >> total_pages >> resident_pages) {
    usage.resident_bytes = resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
  }
  std::ifstream stat_file(folder + "/stat");
  std::string line;
  std::getline(stat_file, line);
  // Fields 14 and 15 (utime, stime) follow the command name, which may hold spaces (proc(5)).
  const auto name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return usage;
  }
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  constexpr int kFieldsBeforeUtime = 11;
  for (int field = 0; field < kFieldsBeforeUtime; ++field) {
    fields >> skipped;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  usage.processor_seconds = (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return usage;
}

std::optional<double> metricIn(const std::string& page, const std::string& name) {
  std::istringstream lines(page);
  std::string line;
  const std::string prefix = "ramppond_" + name + " ";
  while (std::getline(lines, line)) {
    if (line.rfind(prefix, 0) == 0) {
      return std::atof(line.c_str() + prefix.size());
    }
  }
  return std::nullopt;
}

}  // namespace ramppond
