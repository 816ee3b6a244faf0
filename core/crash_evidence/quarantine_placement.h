// Selects the one server of a service at which a quarantined request may run.
//
// Uses rendezvous hashing of the digest and the addresses of the proxies beside the servers.
// Proxies that know the same servers select the same one without communication; different requests
// get different servers, and another server is selected once one is gone. A further crash then
// costs the service one server. Stateless; thread safe.
#pragma once

#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"

namespace ramppond {

/// Whether the request may run at the server beside proxy `own`. `proxies` are the proxies beside
/// all servers of the service, with or without `own`.
[[nodiscard]] auto is_quarantine_proxy(const request_digest& digest, const std::string& own,
                                       const std::vector<std::string>& proxies) -> bool;

}  // namespace ramppond
