// Chooses the one server of a service at which a request on trial may run.
//
// Rendezvous hashing of the digest and the addresses of the proxies beside the
// servers: proxies that know the same servers choose the same one without asking
// each other, another one for another request, and another one once it is gone.
// A further crash then costs the service one server. Pure, thread safe.
#pragma once

#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"

namespace ramppond {

/// Whether the server beside `own` has the trial; `proxies` are those beside all
/// servers of the service, with or without `own`.
[[nodiscard]] auto is_quarantine_proxy(const request_digest& digest, const std::string& own,
                                       const std::vector<std::string>& proxies) -> bool;

}  // namespace ramppond
