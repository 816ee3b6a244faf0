#include "core/call_model/planning.h"

#include <algorithm>
#include <sstream>

namespace ramppond {
namespace {

constexpr std::uint32_t kMaximumRetryAllowance = 16;

PlanningError planningError(ErrorKind kind, std::string reason) {
  return PlanningError{kind, std::move(reason)};
}

template <class Item>
Item* findNamed(std::vector<Item>& items, const std::string& name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

template <class Item>
void insertOrReplaceNamed(std::vector<Item>& items, const Item& item) {
  Item* existing = findNamed(items, item.name);
  if (existing != nullptr) {
    *existing = item;
  } else {
    items.push_back(item);
  }
}

template <class Item>
std::optional<PlanningError> removeNamed(std::vector<Item>& items, const std::string& name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
  if (found == items.end()) {
    return planningError(ErrorKind::kNotFound, "there is no '" + name + "'");
  }
  items.erase(found);
  return std::nullopt;
}

// Whether `higher` outranks `lower` by the intents, directly or transitively.
bool outranksTransitively(const std::vector<Intent>& intents, const std::string& higher,
                          const std::string& lower) {
  std::vector<std::string> reached = {higher};
  for (std::size_t next = 0; next < reached.size(); ++next) {
    for (const Intent& intent : intents) {
      const bool known = std::find(reached.begin(), reached.end(), intent.lower) != reached.end();
      if (intent.higher == reached[next] && !known) {
        reached.push_back(intent.lower);
      }
    }
  }
  return higher != lower && std::find(reached.begin(), reached.end(), lower) != reached.end();
}

// Sets the rank of each work type to the length of the longest chain of intents above it within
// its kind, at most kMaximumWorkRank.
void recomputeRanks(Configuration& configuration) {
  for (WorkType& type : configuration.work_types) {
    type.rank = 0;
  }
  for (std::uint32_t pass = 0; pass < kMaximumWorkRank; ++pass) {
    for (const Intent& intent : configuration.intents) {
      const WorkType* higher = findNamed(configuration.work_types, intent.higher);
      WorkType* lower = findNamed(configuration.work_types, intent.lower);
      if (higher != nullptr && lower != nullptr && higher->kind == lower->kind) {
        const std::uint32_t below = std::min(higher->rank + 1, kMaximumWorkRank);
        lower->rank = std::max(lower->rank, below);
      }
    }
  }
}

std::optional<PlanningError> addIntent(const Intent& intent, Configuration& configuration) {
  const WorkType* higher = configuration.findWorkType(intent.higher);
  const WorkType* lower = configuration.findWorkType(intent.lower);
  if (higher == nullptr || lower == nullptr) {
    const std::string& missing = higher == nullptr ? intent.higher : intent.lower;
    return planningError(ErrorKind::kNotFound, "there is no work type '" + missing + "'");
  }
  if (intent.higher == intent.lower) {
    return planningError(ErrorKind::kPromiseOrder, "a work type cannot outrank itself");
  }
  if (lower->kind < higher->kind) {
    return planningError(ErrorKind::kPromiseOrder,
                         "bulk is shed before lookup and lookup before commit_once; '" +
                             intent.higher + "' is " + workKindName(higher->kind) + " and '" +
                             intent.lower + "' is " + workKindName(lower->kind));
  }
  auto& intents = configuration.intents;
  const Intent opposite = {intent.lower, intent.higher};
  intents.erase(std::remove(intents.begin(), intents.end(), opposite), intents.end());
  if (outranksTransitively(intents, intent.lower, intent.higher)) {
    return planningError(ErrorKind::kPromiseOrder, "other intents already put '" + intent.lower +
                                                       "' above '" + intent.higher + "'");
  }
  if (std::find(intents.begin(), intents.end(), intent) == intents.end()) {
    intents.push_back(intent);
  }
  return std::nullopt;
}

std::optional<PlanningError> setClass(const PriorityClass& priority_class,
                                      Configuration& configuration) {
  if (priority_class.name.empty()) {
    return planningError(ErrorKind::kMalformedRequest, "a class needs a name");
  }
  if (priority_class.weight < 1 || priority_class.weight > kMaximumClassWeight) {
    return planningError(ErrorKind::kMalformedRequest,
                         "weight: expected 1 to " + std::to_string(kMaximumClassWeight));
  }
  for (const std::string& key : priority_class.caller_keys) {
    const PriorityClass* owner = configuration.classOfKey(key);
    if (owner != nullptr && owner->name != priority_class.name) {
      return planningError(ErrorKind::kMalformedRequest,
                           "caller key '" + key + "' already belongs to " + owner->name);
    }
  }
  insertOrReplaceNamed(configuration.classes, priority_class);
  return std::nullopt;
}

std::optional<PlanningError> setWorkType(const WorkType& type, Configuration& configuration) {
  if (type.name.empty() || type.service.empty() || type.path_prefix.rfind('/', 0) != 0) {
    return planningError(ErrorKind::kMalformedRequest,
                         "a work type needs a name, a service and a path that starts with /");
  }
  insertOrReplaceNamed(configuration.work_types, type);
  return std::nullopt;
}

std::optional<PlanningError> removeWorkType(const std::string& name, Configuration& configuration) {
  auto& intents = configuration.intents;
  const auto refers_to_name = [&](const Intent& intent) {
    return intent.higher == name || intent.lower == name;
  };
  intents.erase(std::remove_if(intents.begin(), intents.end(), refers_to_name), intents.end());
  return removeNamed(configuration.work_types, name);
}

std::optional<PlanningError> drainServer(const std::string& name, Configuration& configuration) {
  auto& draining = configuration.draining_servers;
  if (name.empty()) {
    return planningError(ErrorKind::kMalformedRequest, "a server name is needed");
  }
  if (std::find(draining.begin(), draining.end(), name) == draining.end()) {
    draining.push_back(name);
  }
  return std::nullopt;
}

std::optional<PlanningError> restoreServer(const std::string& name, Configuration& configuration) {
  auto& draining = configuration.draining_servers;
  const auto found = std::find(draining.begin(), draining.end(), name);
  if (found == draining.end()) {
    return planningError(ErrorKind::kNotFound, "'" + name + "' is not draining");
  }
  draining.erase(found);
  return std::nullopt;
}

std::optional<PlanningError> applyChange(const ConfigurationChange& change,
                                         Configuration& configuration) {
  switch (change.type) {
    case ChangeType::kSetClass:
      return setClass(change.priority_class, configuration);
    case ChangeType::kRemoveClass:
      return removeNamed(configuration.classes, change.name);
    case ChangeType::kSetWorkType:
      return setWorkType(change.work_type, configuration);
    case ChangeType::kRemoveWorkType:
      return removeWorkType(change.name, configuration);
    case ChangeType::kAddIntent:
      return addIntent(change.intent, configuration);
    case ChangeType::kSetRetryAllowance:
      if (change.retry_allowance > kMaximumRetryAllowance) {
        return planningError(
            ErrorKind::kMalformedRequest,
            "retry allowance: expected 0 to " + std::to_string(kMaximumRetryAllowance));
      }
      configuration.retry_allowance = change.retry_allowance;
      return std::nullopt;
    case ChangeType::kDrainServer:
      return drainServer(change.name, configuration);
    case ChangeType::kRestoreServer:
      return restoreServer(change.name, configuration);
  }
  return planningError(ErrorKind::kMalformedRequest, "unknown type of change");
}

std::string joined(const std::vector<std::string>& words, const std::string& separator) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : separator) + word;
  }
  return text;
}

std::vector<std::string> classLines(const Configuration& configuration) {
  std::vector<std::string> lines;
  for (const PriorityClass& item : configuration.classes) {
    lines.push_back("class " + item.name + " weight " + std::to_string(item.weight) + " keys " +
                    std::to_string(item.caller_keys.size()));
  }
  return lines;
}

std::vector<std::string> describe(const Configuration& configuration) {
  std::vector<std::string> lines = classLines(configuration);
  for (const WorkType& type : configuration.work_types) {
    lines.push_back("work " + type.name + " " + workKindName(type.kind) + " rank " +
                    std::to_string(type.rank) + " at " + type.service + type.path_prefix);
  }
  for (const Intent& intent : configuration.intents) {
    lines.push_back("intent " + intent.toString());
  }
  for (const std::string& server : configuration.draining_servers) {
    lines.push_back("draining " + server);
  }
  lines.push_back("retry allowance " + std::to_string(configuration.retry_allowance));
  return lines;
}

}  // namespace

std::optional<Intent> parseIntent(const std::string& text) {
  std::istringstream words(text);
  Intent intent;
  std::string verb;
  std::string rest;
  if (!(words >> intent.higher >> verb >> intent.lower) || (words >> rest)) {
    return std::nullopt;
  }
  if (verb != "outrank" && verb != "outranks") {
    return std::nullopt;
  }
  return intent;
}

std::optional<PlanningError> applyChanges(const std::vector<ConfigurationChange>& changes,
                                          Configuration& configuration) {
  Configuration next = configuration;
  for (const ConfigurationChange& change : changes) {
    auto error = applyChange(change, next);
    if (error) {
      return error;
    }
  }
  recomputeRanks(next);
  configuration = std::move(next);
  return std::nullopt;
}

std::vector<std::string> describeDifference(const Configuration& before,
                                            const Configuration& after) {
  const std::vector<std::string> old_lines = describe(before);
  const std::vector<std::string> new_lines = describe(after);
  std::vector<std::string> difference;
  for (const std::string& line : old_lines) {
    if (std::find(new_lines.begin(), new_lines.end(), line) == new_lines.end()) {
      difference.push_back("- " + line);
    }
  }
  for (const std::string& line : new_lines) {
    if (std::find(old_lines.begin(), old_lines.end(), line) == old_lines.end()) {
      difference.push_back("+ " + line);
    }
  }
  difference.push_back("shed order before: " + joined(before.shedOrder(), ", "));
  difference.push_back("shed order after:  " + joined(after.shedOrder(), ", "));
  return difference;
}

}  // namespace ramppond
