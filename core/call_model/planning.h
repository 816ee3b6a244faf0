// Applies an operator's changes to a configuration, and describes the result as lines of a plan.
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

/// One requested change. Only the field that belongs to `type` is read.
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

/// Parses "NAME outrank NAME" or "NAME outranks NAME"; std::nullopt for any other text.
std::optional<Intent> parseIntent(const std::string& text);

/// The reason why a change was refused.
struct PlanningError {
  ErrorKind kind = ErrorKind::kNone;
  std::string reason;
};

/// Applies `changes` to `configuration` in order. On the first error, returns it and leaves
/// `configuration` unchanged.
std::optional<PlanningError> applyChanges(const std::vector<ConfigurationChange>& changes,
                                          Configuration& configuration);

/// The differences between two configurations, one per line, followed by the shedding order before
/// and after.
std::vector<std::string> describeDifference(const Configuration& before,
                                            const Configuration& after);

}  // namespace ramppond
