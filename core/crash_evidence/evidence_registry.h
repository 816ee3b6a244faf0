// The newest crash record of each instance, as coordinators and proxies hold it in
// memory.
//
// Owns the records and the order in which they were taken, by which a reader asks
// for what is new to it. Records are handed out by service, since they concern the
// proxies beside the servers of one service only: their cost to a proxy doesn't
// grow with the fleet. Bounded for a service and as a whole, so that servers that
// crash all the time fill no coordinator. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/crash_evidence/instance_evidence.h"
#include "core/time.h"

namespace ramppond {

class evidence_registry {
 public:
  /// Takes a record that is newer than the one held for its instance and younger
  /// than evidence_lifetime. Returns whether it was taken.
  auto offer(const instance_evidence& evidence, TimePoint now) -> bool;

  /// Records of `service` (of all for an empty name) taken after counter() had
  /// the value `since`, with their age at `now`.
  [[nodiscard]] auto changes_since(std::uint64_t since, const std::string& service,
                                   TimePoint now) const -> std::vector<instance_evidence>;
  /// Whether changes_since() would give any.
  [[nodiscard]] auto has_changes(std::uint64_t since, const std::string& service) const -> bool;

  /// Grows by one with each record taken.
  [[nodiscard]] auto counter() const -> std::uint64_t { return this->taken; }

 private:
  struct held_record {
    instance_evidence evidence;
    TimePoint since{0};  // its age counts from here
    std::uint64_t changed = 0;
  };
  void drop(const std::string& instance_id);
  void make_room(const std::string& service, TimePoint now);

  std::map<std::string, held_record> records;                              // by instance
  std::map<std::string, std::map<std::uint64_t, std::string>> by_service;  // change to instance
  std::map<std::uint64_t, std::string> changes;                            // of all services
  std::uint64_t taken = 0;
};

}  // namespace ramppond
