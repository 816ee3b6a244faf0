#include "core/distribution/record_digests.h"

#include <xxhash.h>

#include <tuple>

namespace ramppond {
namespace {

// A proxy writes each record with a new (incarnation, revision), which identifies its contents.
auto digest_of(const InstanceRecord& record) -> std::uint64_t {
  const auto& address = record.proxy_address;
  const auto of_proxy = XXH3_64bits(address.data(), address.size());
  const std::uint64_t version[] = {of_proxy, record.proxy_incarnation, record.revision};
  return XXH3_64bits(version, sizeof(version));
}

}  // namespace

auto record_digests::bucket_of(const std::string& proxy_address) -> std::size_t {
  return XXH3_64bits(proxy_address.data(), proxy_address.size()) % bucket_count;
}

void record_digests::put(const InstanceRecord& record) {
  auto& held = this->versions[record.proxy_address];
  const auto newer = std::tie(record.proxy_incarnation, record.revision) >
                     std::tie(held.incarnation, held.revision);
  if (!newer) {
    return;
  }
  const auto digest = digest_of(record);
  this->digests[bucket_of(record.proxy_address)] += digest - held.digest;
  held = {record.proxy_incarnation, record.revision, digest};
}

}  // namespace ramppond
