// On whose behalf a request is sent, and whether it may be.
//
// Pure.
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

/// No tenant holds the key, or there is none: final.
struct key_refused {};

/// Whether a tenant holds the key cannot be told now: the request may come back.
struct key_unjudged {};

using identity = std::variant<identified, key_refused, key_unjudged>;

/// The identity of a request to `route`, by a daemon whose lease on the keys
/// that it knows is in state `held`.
[[nodiscard]] auto identify(const TrafficRoute& route, const api_keys& keys,
                            const Credential& credential, authority held) -> identity;

}  // namespace ramppond
