// From an operator's wish to a new configuration: changes, intents, and the lines of a plan.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/call_model/configuration.h"
#include "core/errors.h"

namespace ramppond {

enum class ChangeType : std::uint8_t {
  kSetClass = 0,
  kRemoveClass = 1,
  kSetWorkType = 2,
  kRemoveWorkType = 3,
  kAddIntent = 4,
  kSetRetryAllowance = 5,
  kDrainServer = 6,
  kRestoreServer = 7,
};

/// One wished change. Only the field that belongs to `type` is read.
struct ConfigurationChange {
  ChangeType type = ChangeType::kAddIntent;
  PriorityClass priority_class;
  WorkType work_type;
  Intent intent;
  std::uint32_t retry_allowance = 0;
  std::string name;  ///< Class, work type or server to remove, drain or restore.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, type);
    visitor(2, priority_class);
    visitor(3, work_type);
    visitor(4, intent);
    visitor(5, retry_allowance);
    visitor(6, name);
  }
};

/// Reads "NAME outrank NAME" (or "outranks"). Nothing if the text has another form.
std::optional<Intent> parseIntent(const std::string& text);

/// Why a change cannot be made.
struct PlanningError {
  ErrorKind kind = ErrorKind::kNone;
  std::string reason;
};

/// Applies `changes` to `configuration` in order; leaves it as it was on the first error.
std::optional<PlanningError> applyChanges(const std::vector<ConfigurationChange>& changes,
                                          Configuration& configuration);

/// What differs between two configurations, a line each, ending in the order of shedding.
std::vector<std::string> describeDifference(const Configuration& before,
                                            const Configuration& after);

}  // namespace ramppond
