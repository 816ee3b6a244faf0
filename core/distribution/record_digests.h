// Digests of the records of all servers that a process holds, to find what another process lacks.
//
// Owns one digest for each of 64 buckets of records. Proxies and coordinators run the same class: a
// proxy that begins to ask another coordinator sends its digests, and gets the records of those
// buckets only in which the two differ. Mostly these are none, while all records grow with the
// fleet. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/distribution/instance_record.h"

namespace ramppond {

class record_digests {
 public:
  /// More: each poll with digests is longer, by 9 bytes a bucket. Fewer: one record that differs
  /// brings more records of its bucket along.
  static constexpr auto bucket_count = std::size_t(64);

  record_digests() : digests(bucket_count, 0) {}

  /// Replaces an older record of the same proxy; a newer one stays.
  void put(const InstanceRecord& record);

  /// By bucket. Equal records give equal digests; others differ except by chance (2^-64).
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
