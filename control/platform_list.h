// The platform's list of live and leaving machines, as JSON over HTTP:
//   {"servers": [{"name": "...", "service": "...", "zone": "...", "address": "IPv4:PORT",
//                 "state": "live" | "leaving"}, ...]}
// `address` is where the server's daemon takes calls of other daemons.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/call_model/router.h"

namespace ramppond {

/// The servers in `json`, or nothing if it is not a valid list.
std::optional<std::vector<ServerInfo>> parsePlatformList(const std::string& json);
/// The list as the platform would give it.
std::string formatPlatformList(const std::vector<ServerInfo>& servers);

}  // namespace ramppond
