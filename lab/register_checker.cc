#include "lab/register_checker.h"

namespace ramppond {
namespace {

bool isWrite(const RegisterOperation& operation) {
  return operation.type == RegisterOperationType::kConfirm;
}

// Whether `second` must come before `first` in any order by version.
bool orderedAgainst(const RegisterOperation& first, const RegisterOperation& second) {
  if (first.version != second.version) {
    return second.version < first.version;
  }
  return isWrite(second) && !isWrite(first);
}

std::string describe(const RegisterOperation& operation) {
  return operation.who + (isWrite(operation) ? " confirmed " : " read ") +
         operation.version.toString();
}

}  // namespace

Violations checkLinearizable(const std::vector<RegisterOperation>& operations) {
  Violations violations;
  const auto report = [&](const RegisterOperation& operation, const std::string& reason) {
    violations.push_back({"linearizable", operation.responded.count(), "", reason});
  };
  for (const RegisterOperation& later : operations) {
    for (const RegisterOperation& earlier : operations) {
      if (earlier.responded < later.invoked && orderedAgainst(earlier, later)) {
        report(later, describe(later) + " after " + describe(earlier) + " had ended");
      }
      const bool between = isWrite(later) && isWrite(earlier) && later.base < earlier.version &&
                           earlier.version < later.version;
      if (between) {
        report(later, describe(later) + " on " + later.base.toString() + " although " +
                          describe(earlier) + " lies between");
      }
    }
  }
  return violations;
}

}  // namespace ramppond
