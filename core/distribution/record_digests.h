// Digests of the instance records held by a process, used to find the records that another process
// lacks.
//
// Owns one digest for each of 64 buckets of records. Proxies and coordinators use the same class. A
// proxy that switches to another coordinator sends its digests and gets only the records of buckets
// whose digests differ. Usually there are none, while the number of all records grows with the
// fleet. No I/O; not thread safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/distribution/instance_record.h"

namespace ramppond {

class record_digests {
 public:
  /// Each bucket adds 9 bytes to a poll with digests. With fewer buckets, each differing record
  /// causes more records of its bucket to be sent.
  static constexpr auto bucket_count = std::size_t(64);

  record_digests() : digests(bucket_count, 0) {}

  /// Adds a record or replaces an older one of the same proxy. Ignored if a newer one is held.
  void put(const InstanceRecord& record);

  /// Digests by bucket. Equal records give equal digests; others differ except by chance (2^-64).
  [[nodiscard]] auto buckets() const -> const std::vector<std::uint64_t>& { return this->digests; }

  static auto bucket_of(const std::string& proxy_address) -> std::size_t;

 private:
  struct version {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
  };

  std::vector<std::uint64_t> digests;  // by bucket: sum of the digests of its records
  std::unordered_map<std::string, version> versions;  // by the address of the proxy
};

}  // namespace ramppond
