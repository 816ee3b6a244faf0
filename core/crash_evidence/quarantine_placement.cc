#include "core/crash_evidence/quarantine_placement.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {
namespace {

auto weight_of(const request_digest& digest, const std::string& proxy) -> std::uint64_t {
  return XXH3_64bits_withSeed(proxy.data(), proxy.size(), digest.low);
}

}  // namespace

auto is_quarantine_proxy(const request_digest& digest, const std::string& own,
                         const std::vector<std::string>& proxies) -> bool {
  const auto own_weight = weight_of(digest, own);
  return std::none_of(proxies.begin(), proxies.end(), [&](const std::string& proxy) {
    return proxy != own && weight_of(digest, proxy) > own_weight;
  });
}

}  // namespace ramppond
