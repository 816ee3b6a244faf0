// At which server of a service a request on trial runs: the same one for all
// proxies that know the same servers, without a word between them, another one
// for another request, and another one once it is gone (rendezvous hashing).
// Pure, thread safe.
#pragma once

#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"

namespace ramppond {

/// Whether `own` of all `proxies` beside servers of the service has the trial.
[[nodiscard]] auto is_trial_place(const request_digest& digest, const std::string& own,
                                  const std::vector<std::string>& proxies) -> bool;

}  // namespace ramppond
