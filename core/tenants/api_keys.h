// Finds the tenant that holds a key.
//
// Owns an index of key digests; refers to the list of tenants that it was made from, which must
// outlive it. The time of a look-up doesn't grow with the number of keys. Pure; any thread may
// read.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

class api_keys {
 public:
  explicit api_keys(const std::vector<TenantDefinition>& tenants);

  /// The tenant that holds `key`, or nullptr.
  [[nodiscard]] auto find(std::string_view key) const -> const TenantDefinition*;

 private:
  std::unordered_map<std::string_view, const TenantDefinition*> by_digest;
};

}  // namespace ramppond
