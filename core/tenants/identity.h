// Decides on whose behalf a request is sent, and whether it may go on.
//
// Input: the request's route and credential, the keys known and the state of the lease on them.
// Output: a tenant, none, refused or not to be judged now. Holds no state. Pure; any thread.
#pragma once

#include <variant>

#include "core/tenants/api_keys.h"
#include "core/tenants/authority_lease.h"
#include "core/tenants/credential.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// The request may go on, without a tenant where its route needs none.
struct identified {
  const TenantDefinition* tenant = nullptr;
};

/// No tenant holds the key, or the request carries no key: a retry gets the same answer.
struct key_refused {};

/// Whether a tenant holds the key is not known at present: the request may be retried later.
struct key_unverifiable {};

using identity = std::variant<identified, key_refused, key_unverifiable>;

/// The identity of a request to `route`, at a proxy that knows `keys` under a
/// lease in state `held`.
[[nodiscard]] auto identify(const TrafficRoute& route, const api_keys& keys,
                            const Credential& credential, authority held) -> identity;

}  // namespace ramppond
