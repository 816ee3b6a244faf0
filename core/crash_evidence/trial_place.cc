#include "core/crash_evidence/trial_place.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {
namespace {

auto weight_of(const request_digest& digest, const std::string& daemon) -> std::uint64_t {
  return XXH3_64bits_withSeed(daemon.data(), daemon.size(), digest.low);
}

}  // namespace

auto is_trial_place(const request_digest& digest, const std::string& own,
                    const std::vector<std::string>& daemons) -> bool {
  const auto own_weight = weight_of(digest, own);
  return std::none_of(daemons.begin(), daemons.end(), [&](const std::string& daemon) {
    return daemon != own && weight_of(digest, daemon) > own_weight;
  });
}

}  // namespace ramppond
