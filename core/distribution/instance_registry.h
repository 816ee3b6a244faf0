// What is known of every server: one record per daemon, the newest word of that daemon winning.
//
// The daemon beside a server is the only process that hears it and can reach it, so it alone writes
// its record; everybody else keeps copies. Nothing is deleted: a server that is gone keeps a record
// that says so, and a machine that comes back at the address replaces it. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/cbor_codec.h"
#include "core/distribution/instance_record.h"
#include "core/distribution/record_digests.h"

namespace ramppond {

/// Some records, oldest change first.
struct RegistryChanges {
  std::vector<Preencoded<InstanceRecord>> records;
  std::uint64_t counter = 0;  ///< All changes up to here are among them, or were known before.
};

class InstanceRegistry {
 public:
  /// Takes `record` if it is newer than the one held for its daemon. Returns whether it was taken.
  bool offer(const InstanceRecord& record);
  [[nodiscard]] const InstanceRecord* find(const std::string& daemon_address) const;
  /// At most `most` records taken after counter() had the value `since`. Those of buckets in which
  /// `known` (record_digests::buckets()) agrees are left out; an empty `known` agrees in none.
  [[nodiscard]] RegistryChanges changesSince(std::uint64_t since, std::size_t most,
                                             const std::vector<std::uint64_t>& known = {}) const;
  /// Grows by one with every record taken.
  [[nodiscard]] std::uint64_t counter() const { return counter_; }
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    std::string encoded;
    std::uint64_t changed = 0;
  };
  [[nodiscard]] std::vector<bool> bucketsThatAgree(const std::vector<std::uint64_t>& known) const;

  std::map<std::string, Entry> records_;
  std::map<std::uint64_t, std::string> changes_;  ///< Counter to daemon, the latest change each.
  std::uint64_t counter_ = 0;
  record_digests digests_;
};

}  // namespace ramppond
