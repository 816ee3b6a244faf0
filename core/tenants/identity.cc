#include "core/tenants/identity.h"

namespace ramppond {
namespace {

// Ignores keys once the lease has expired, since they may have been removed.
auto find_tenant(const api_keys& keys, const Credential& credential, authority lease_state)
    -> const TenantDefinition* {
  const auto usable = credential.form == CredentialForm::kKey && lease_state != authority::expired;
  return usable ? keys.find(credential.key) : nullptr;
}

}  // namespace

auto identify(const TrafficRoute& route, const api_keys& keys, const Credential& credential,
              authority lease_state) -> identity {
  const auto* tenant = find_tenant(keys, credential, lease_state);
  if (tenant != nullptr || route.is_public) {
    return identified{tenant};
  }
  if (lease_state == authority::expired) {
    return key_unverifiable{};
  }
  // The key may have been added after the last confirmed answer.
  const auto may_be_new =
      credential.form == CredentialForm::kKey && lease_state == authority::stale;
  return may_be_new ? identity(key_unverifiable{}) : identity(key_refused{});
}

}  // namespace ramppond
