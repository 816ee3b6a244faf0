#include "core/call_model/configuration.h"

#include <algorithm>
#include <tuple>

namespace ramppond {

std::string workKindName(WorkKind kind) {
  switch (kind) {
    case WorkKind::kCommitOnce:
      return "commit_once";
    case WorkKind::kLookup:
      return "lookup";
    case WorkKind::kBulk:
      return "bulk";
  }
  return "bulk";
}

std::optional<WorkKind> parseWorkKind(const std::string& name) {
  for (const WorkKind kind : {WorkKind::kCommitOnce, WorkKind::kLookup, WorkKind::kBulk}) {
    if (workKindName(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

const PriorityClass* Configuration::classOfKey(const std::string& caller_key) const {
  for (const PriorityClass& candidate : classes) {
    const auto& keys = candidate.caller_keys;
    if (std::find(keys.begin(), keys.end(), caller_key) != keys.end()) {
      return &candidate;
    }
  }
  return nullptr;
}

const WorkType* Configuration::workTypeOf(const std::string& service,
                                          const std::string& path) const {
  const WorkType* best = nullptr;
  for (const WorkType& candidate : work_types) {
    const bool matches = candidate.service == service && path.rfind(candidate.path_prefix, 0) == 0;
    const bool longer = best == nullptr || candidate.path_prefix.size() > best->path_prefix.size();
    if (matches && longer) {
      best = &candidate;
    }
  }
  return best;
}

const WorkType* Configuration::findWorkType(const std::string& name) const {
  const auto found = std::find_if(work_types.begin(), work_types.end(),
                                  [&](const WorkType& type) { return type.name == name; });
  return found == work_types.end() ? nullptr : &*found;
}

std::vector<std::string> Configuration::shedOrder() const {
  std::vector<const WorkType*> ordered;
  for (const WorkType& type : work_types) {
    ordered.push_back(&type);
  }
  std::sort(ordered.begin(), ordered.end(), [](const WorkType* left, const WorkType* right) {
    return std::tie(right->kind, right->rank, left->name) <
           std::tie(left->kind, left->rank, right->name);
  });
  std::vector<std::string> names;
  names.reserve(ordered.size());
  for (const WorkType* type : ordered) {
    names.push_back(type->name);
  }
  return names;
}

bool ConfigurationHolder::offer(const Configuration& candidate) {
  if (candidate.group_id == 0) {
    return false;
  }
  const bool other_group = hasAny() && candidate.group_id != current_.group_id;
  const bool newer = !hasAny() || !refuse_older_ || current_.version < candidate.version;
  if (other_group || !newer) {
    return false;
  }
  current_ = candidate;
  return true;
}

}  // namespace ramppond
