// Holds the newest record of every server, and finds what has changed since a point in time.
//
// Input: records from proxies and other coordinators. Output: the records that a reader lacks, by a
// change counter or by digests. Owns one record for each proxy, the newest that it wrote. Pure, not
// thread safe.
//
// The proxy beside a server is the only process that hears it and can reach it, so only that proxy
// writes its record; all others keep copies. Nothing is deleted: a server that has ended keeps a
// record with state kNone, and a machine that comes back at the address replaces it.
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
  std::uint64_t counter = 0;  ///< The reader has all changes up to here once it takes these.
};

class InstanceRegistry {
 public:
  /// Takes `record` if it is newer than the one held from its proxy. Returns whether it was taken.
  bool offer(const InstanceRecord& record);
  [[nodiscard]] const InstanceRecord* find(const std::string& proxy_address) const;
  /// At most `most` records taken after counter() had the value `since`. Those of buckets in which
  /// `known` (record_digests::buckets()) agrees are left out; an empty `known` agrees in none.
  [[nodiscard]] RegistryChanges changesSince(std::uint64_t since, std::size_t most,
                                             const std::vector<std::uint64_t>& known = {}) const;
  /// Rises by one with every record taken.
  [[nodiscard]] std::uint64_t counter() const { return counter_; }
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    std::string encoded;        ///< For answers, once for all readers.
    std::uint64_t changed = 0;  ///< Counter at its last change.
  };
  [[nodiscard]] std::vector<bool> bucketsThatAgree(const std::vector<std::uint64_t>& known) const;

  std::map<std::string, Entry> records_;  ///< By the address of the proxy.
  std::map<std::uint64_t, std::string>
      changes_;  ///< By counter: the proxy, once each at its last change.
  std::uint64_t counter_ = 0;
  record_digests digests_;
};

}  // namespace ramppond
