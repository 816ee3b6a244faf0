// Finds the tenant that holds an API key.
//
// Owns an index of key digests and refers to the list of tenants that it was built from, which must
// outlive it. Lookup takes constant time. Immutable; safe to read from any thread.
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

  /// Returns the tenant that holds `key`, or nullptr.
  [[nodiscard]] auto find(std::string_view key) const -> const TenantDefinition*;

 private:
  std::unordered_map<std::string_view, const TenantDefinition*> by_digest;
};

}  // namespace ramppond
