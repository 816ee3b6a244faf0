#include "cli/configuration_file.h"

#include "common/settings.h"

namespace ramppond {
namespace {

constexpr IntegerRange kAllowanceRange = {0, 16};

ConfigurationChange readClass(SettingsTable& table) {
  ConfigurationChange change;
  change.type = ChangeType::kSetClass;
  change.priority_class.name = table.requiredString("name");
  change.priority_class.weight =
      static_cast<std::uint32_t>(table.optionalInteger("weight", 1, {1, kMaximumClassWeight}));
  change.priority_class.caller_keys = table.strings("keys");
  table.finish();
  return change;
}

ConfigurationChange readWorkType(SettingsTable& table) {
  ConfigurationChange change;
  change.type = ChangeType::kSetWorkType;
  change.work_type.name = table.requiredString("name");
  change.work_type.service = table.requiredString("service");
  change.work_type.path_prefix = table.requiredString("path");
  const std::string kind = table.choice("kind", {"lookup", "commit_once", "bulk"});
  change.work_type.kind = parseWorkKind(kind).value_or(WorkKind::kBulk);
  table.finish();
  return change;
}

}  // namespace

std::optional<std::vector<ConfigurationChange>> readConfigurationFile(const std::string& path,
                                                                      std::string& error) {
  SettingsFile file(path);
  SettingsTable root = file.root();
  std::vector<ConfigurationChange> changes;
  for (SettingsTable& table : root.tables("class")) {
    changes.push_back(readClass(table));
  }
  for (SettingsTable& table : root.tables("work")) {
    changes.push_back(readWorkType(table));
  }
  for (const std::string& text : root.strings("intents")) {
    const auto intent = parseIntent(text);
    if (!intent) {
      root.reject("intents", "expected \"WORK outrank WORK\" in every element");
      continue;
    }
    ConfigurationChange change;
    change.type = ChangeType::kAddIntent;
    change.intent = *intent;
    changes.push_back(std::move(change));
  }
  if (root.has("retry_allowance")) {
    ConfigurationChange change;
    change.type = ChangeType::kSetRetryAllowance;
    change.retry_allowance =
        static_cast<std::uint32_t>(root.requiredInteger("retry_allowance", kAllowanceRange));
    changes.push_back(std::move(change));
  }
  root.finish();
  if (file.error()) {
    error = *file.error();
    return std::nullopt;
  }
  return changes;
}

}  // namespace ramppond
