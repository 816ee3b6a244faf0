// Structured log lines by Boost.Log, for changes of state only; everything else is a counter.
#pragma once

#include <string>
#include <vector>

namespace ramppond {

enum class LogFormat { kText, kJson };

/// "json", or text for anything else.
LogFormat parseLogFormat(const std::string& text);

struct LogField {
  std::string key;
  std::string value;
};

/// Sends lines to standard error. `component` names the process in every line.
void startLogging(LogFormat format, const std::string& component);

/// One change of state, e.g. logChange("configuration_in_force", {{"version", "3.17"}}).
/// Thread safe.
void logChange(const std::string& event, const std::vector<LogField>& fields);

}  // namespace ramppond
