// Digests of the records of all servers that a process holds, to find what another process lacks.
//
// A daemon that begins to ask another control member tells these, and is sent the records of those
// buckets only in which the two differ: mostly none, where the whole grows with the fleet. The same
// class runs in members and daemons. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/distribution/instance_record.h"

namespace ramppond {

class record_digests {
 public:
  /// With 64 buckets a poll grows by 0.6 KB; one record that differs brings those of its bucket
  /// along, 16 of 1,000.
  static constexpr auto bucket_count = std::size_t(64);

  record_digests() : digests(bucket_count, 0) {}

  /// Takes the place of an older record of the same daemon; a newer one stays.
  void put(const InstanceRecord& record);

  /// By bucket; equal if and, but for chance, only if the records of the bucket are.
  [[nodiscard]] auto buckets() const -> const std::vector<std::uint64_t>& { return this->digests; }

  static auto bucket_of(const std::string& daemon_address) -> std::size_t;

 private:
  struct version {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
  };

  std::vector<std::uint64_t> digests;                 // sums of the digests of the records in each
  std::unordered_map<std::string, version> versions;  // by daemon
};

}  // namespace ramppond
