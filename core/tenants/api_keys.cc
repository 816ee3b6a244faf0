#include "core/tenants/api_keys.h"

#include "core/tenants/key_digest.h"

namespace ramppond {

api_keys::api_keys(const std::vector<TenantDefinition>& tenants) {
  for (const auto& tenant : tenants) {
    for (const auto& digest : tenant.key_digests) {
      this->by_digest.emplace(digest, &tenant);
    }
  }
}

auto api_keys::find(std::string_view key) const -> const TenantDefinition* {
  const auto found = this->by_digest.find(key_digest(key));
  return found == this->by_digest.end() ? nullptr : found->second;
}

}  // namespace ramppond
