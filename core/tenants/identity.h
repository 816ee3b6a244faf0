// Authenticates a request: finds the tenant that it is sent for and decides whether it may proceed.
//
// Input: the request's route and credential, the known keys and the state of the lease on them.
// Output: a tenant, no tenant, a refusal, or that the key cannot be verified now. Stateless; may be
// called from any thread.
#pragma once

#include <variant>

#include "core/tenants/api_keys.h"
#include "core/tenants/authority_lease.h"
#include "core/tenants/credential.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// The request may proceed. `tenant` is nullptr if no valid key was given on a public route.
struct identified {
  const TenantDefinition* tenant = nullptr;
};

/// No tenant holds the key, or the request carries none. Permanent: a retry gets the same answer.
struct key_refused {};

/// The lease does not allow to tell whether a tenant holds the key. The request may be retried.
struct key_unverifiable {};

using identity = std::variant<identified, key_refused, key_unverifiable>;

/// Returns the identity of a request to `route`. `lease_state` is the state of the lease on `keys`.
[[nodiscard]] auto identify(const TrafficRoute& route, const api_keys& keys,
                            const Credential& credential, authority lease_state) -> identity;

}  // namespace ramppond
