// Holds the newest record of every server and finds the records that a reader lacks.
//
// Input: records from proxies and other coordinators. Output: the records that a reader lacks,
// determined by a change counter or by digests. Owns the newest record of each proxy. No I/O; not
// thread safe.
//
// Only the proxy beside a server communicates with it, so only that proxy writes its record; all
// other processes keep copies. Records are never deleted: a stopped server keeps a record with
// state kNone, which is replaced if a machine returns at the address.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/cbor_codec.h"
#include "core/distribution/instance_record.h"
#include "core/distribution/record_digests.h"

namespace ramppond {

/// Records that a reader lacks, oldest change first.
struct RegistryChanges {
  std::vector<Preencoded<InstanceRecord>> records;
  std::uint64_t counter = 0;  ///< The reader has all changes up to here once it has stored these.
};

class InstanceRegistry {
 public:
  /// Stores `record` if it is newer than the one held from its proxy. Returns whether it was
  /// stored.
  bool offer(const InstanceRecord& record);
  [[nodiscard]] const InstanceRecord* find(const std::string& proxy_address) const;
  /// Returns at most `max_records` records that were stored after counter() had the value `since`.
  /// Records in buckets whose digest equals that in `known` (see record_digests::buckets()) are
  /// omitted. An empty `known` matches no bucket.
  [[nodiscard]] RegistryChanges changesSince(std::uint64_t since, std::size_t max_records,
                                             const std::vector<std::uint64_t>& known = {}) const;
  /// Increases by one with every stored record.
  [[nodiscard]] std::uint64_t counter() const { return counter_; }
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    std::string encoded;        ///< Encoded once for the answers to all readers.
    std::uint64_t changed = 0;  ///< Counter at its last change.
  };
  [[nodiscard]] std::vector<bool> matchingBuckets(const std::vector<std::uint64_t>& known) const;

  std::map<std::string, Entry> records_;  ///< By the address of the proxy.
  std::map<std::uint64_t, std::string>
      changes_;  ///< Proxy address by counter; one entry per proxy, at its last change.
  std::uint64_t counter_ = 0;
  record_digests digests_;
};

}  // namespace ramppond
