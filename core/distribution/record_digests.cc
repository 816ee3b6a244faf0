#include "core/distribution/record_digests.h"

#include <xxhash.h>

#include <tuple>

namespace ramppond {
namespace {

// A proxy writes each record under a new number, so the number stands for the contents.
auto digest_of(const InstanceRecord& record) -> std::uint64_t {
  const auto& address = record.daemon_address;
  const auto of_proxy = XXH3_64bits(address.data(), address.size());
  const std::uint64_t version[] = {of_proxy, record.incarnation, record.revision};
  return XXH3_64bits(version, sizeof(version));
}

}  // namespace

auto record_digests::bucket_of(const std::string& daemon_address) -> std::size_t {
  return XXH3_64bits(daemon_address.data(), daemon_address.size()) % bucket_count;
}

void record_digests::put(const InstanceRecord& record) {
  auto& held = this->versions[record.daemon_address];
  const auto newer =
      std::tie(record.incarnation, record.revision) > std::tie(held.incarnation, held.revision);
  if (!newer) {
    return;
  }
  const auto digest = digest_of(record);
  this->digests[bucket_of(record.daemon_address)] += digest - held.digest;
  held = {record.incarnation, record.revision, digest};
}

}  // namespace ramppond
