// Finds the tenant that holds a key, in a time that does not grow with the
// number of keys. Refers to the configuration that it was made from. Pure, not
// thread safe.
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
