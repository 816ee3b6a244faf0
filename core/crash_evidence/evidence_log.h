// The crash records that the control group keeps in its replicated log, so that
// blocks outlast a loss of power of all machines.
//
// Part of ControlState: owns at most 256 records of the last half hour, and is
// changed by log entries only. An entry carries the wall clock of the leader that
// proposed it, in milliseconds; no other time counts, so all replicas are equal.
// Not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/crash_evidence/instance_evidence.h"

namespace ramppond {

/// Records that a leader proposes together.
struct evidence_batch {
  std::vector<instance_evidence> records;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, records);
  }
};

struct dated_evidence {
  instance_evidence evidence;  // its age is of no meaning
  std::int64_t when_ms = 0;    // of the last change, by a leader's wall clock

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, evidence);
    visitor(2, when_ms);
  }
};

class evidence_log {
 public:
  void apply(const evidence_batch& batch, std::int64_t leader_clock_ms);

  /// Whether a record would change anything if it were applied. One with successes
  /// only is not kept.
  [[nodiscard]] auto wants(const instance_evidence& evidence) const -> bool;
  /// With their age by a wall clock; none older than evidence_lifetime.
  [[nodiscard]] auto records_at(std::int64_t clock_ms) const -> std::vector<instance_evidence>;

  [[nodiscard]] auto snapshot() const -> std::vector<dated_evidence>;
  void restore(const std::vector<dated_evidence>& records);

 private:
  void drop_old(std::int64_t clock_ms);

  std::map<std::string, dated_evidence> by_instance;
};

}  // namespace ramppond
