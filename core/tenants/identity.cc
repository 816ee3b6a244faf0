#include "core/tenants/identity.h"

namespace ramppond {
namespace {

// A key counts only while the lease holds: it may have been removed since.
auto holder(const api_keys& keys, const Credential& credential, authority held)
    -> const TenantDefinition* {
  const auto usable = credential.form == CredentialForm::kKey && held != authority::lapsed;
  return usable ? keys.find(credential.key) : nullptr;
}

}  // namespace

auto identify(const TrafficRoute& route, const api_keys& keys, const Credential& credential,
              authority held) -> identity {
  const auto* tenant = holder(keys, credential, held);
  if (tenant != nullptr || route.is_public) {
    return identified{tenant};
  }
  if (held == authority::lapsed) {
    return key_unverifiable{};
  }
  // The key may have been added after the last proven answer.
  const auto may_be_new = credential.form == CredentialForm::kKey && held == authority::stale;
  return may_be_new ? identity(key_unverifiable{}) : identity(key_refused{});
}

}  // namespace ramppond
