// Linearizability of the configuration register: reads and confirms of concurrent operators.
//
// A confirm is a compare-and-set from the version it was planned against to a new one, and versions
// only grow and are never given twice. For such a register the only candidate order is by version,
// writes before the reads that saw them; a history is linearizable (Herlihy and Wing, 1990) if and
// only if that order agrees with real time and every write follows directly on its base.
#pragma once

#include <string>
#include <vector>

#include "core/call_model/configuration.h"
#include "core/time.h"
#include "lab/promise_checkers.h"

namespace ramppond {

enum class RegisterOperationType : std::uint8_t { kRead, kConfirm };

/// One finished operation. Operations whose answer was lost are left out: they may or may not have
/// taken effect, and if they have, reads show it.
struct RegisterOperation {
  RegisterOperationType type = RegisterOperationType::kRead;
  std::string who;
  TimePoint invoked{0};
  TimePoint responded{0};
  ConfigurationVersion base;     ///< kConfirm: what it was planned against.
  ConfigurationVersion version;  ///< Read or written.
};

Violations checkLinearizable(const std::vector<RegisterOperation>& operations);

}  // namespace ramppond
