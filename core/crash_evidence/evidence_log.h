// The crash records that the control group stores in its replicated log, so that blocks survive a
// power loss of all machines.
//
// Part of ControlState. Owns at most 256 records of the last half hour and is changed only by log
// entries. Each entry carries the wall clock of the leader that proposed it, in milliseconds. No
// other clock is read, so all replicas are equal. Not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/crash_evidence/instance_evidence.h"

namespace ramppond {

/// The records of one proposal of a leader.
struct evidence_batch {
  std::vector<instance_evidence> records;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, records);
  }
};

struct dated_evidence {
  instance_evidence evidence;  // `age` is not used
  std::int64_t when_ms = 0;    // time of the last change by the leader's wall clock

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, evidence);
    visitor(2, when_ms);
  }
};

class evidence_log {
 public:
  void apply(const evidence_batch& batch, std::int64_t leader_clock_ms);

  /// Whether applying the record would change the state. Records of successes only are not kept.
  [[nodiscard]] auto wants(const instance_evidence& evidence) const -> bool;
  /// Returns the records younger than evidence_lifetime, with their age at wall clock `clock_ms`.
  [[nodiscard]] auto records_at(std::int64_t clock_ms) const -> std::vector<instance_evidence>;

  [[nodiscard]] auto snapshot() const -> std::vector<dated_evidence>;
  void restore(const std::vector<dated_evidence>& records);

 private:
  void drop_old(std::int64_t clock_ms);

  std::map<std::string, dated_evidence> by_instance;
};

}  // namespace ramppond
