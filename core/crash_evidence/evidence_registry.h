// The newest crash record of each instance, held in memory by coordinators and proxies.
//
// Owns the records and the order in which they were accepted, which lets a reader request only what
// is new to it. Records are read by service, since they concern only the proxies beside the servers
// of that service; the cost for a proxy does not grow with the fleet. The number of records is
// limited per service and in total, so that servers that keep crashing cannot exhaust the memory of
// a coordinator. No I/O; not thread safe.
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
  /// Accepts a record if it is newer than the one held for its instance and younger than
  /// evidence_lifetime. Returns whether it was accepted.
  auto offer(const instance_evidence& evidence, TimePoint now) -> bool;

  /// Returns the records of `service` (of all services if empty) that were accepted after counter()
  /// had the value `since`, with their age at `now`.
  [[nodiscard]] auto changes_since(std::uint64_t since, const std::string& service,
                                   TimePoint now) const -> std::vector<instance_evidence>;
  /// Whether changes_since() would return any records.
  [[nodiscard]] auto has_changes(std::uint64_t since, const std::string& service) const -> bool;

  /// Increases by one with each accepted record.
  [[nodiscard]] auto counter() const -> std::uint64_t { return this->last_change; }

 private:
  struct held_record {
    instance_evidence evidence;
    TimePoint since{0};  // time of its last change
    std::uint64_t changed = 0;
  };
  void drop(const std::string& instance_id);
  void make_room(const std::string& service, TimePoint now);

  std::map<std::string, held_record> records;  // by instance
  // By service: the instances in the order of their last change, by change number.
  std::map<std::string, std::map<std::uint64_t, std::string>> by_service;
  std::map<std::uint64_t, std::string> changes;  // likewise for all services together
  std::uint64_t last_change = 0;
};

}  // namespace ramppond
