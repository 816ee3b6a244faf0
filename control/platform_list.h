// The platform's list of live and leaving servers, as JSON over HTTP:
//   {"servers": [{"name": "...", "service": "...", "zone": "...", "address": "IPv4:PORT",
//                 "state": "live" | "leaving"}, ...]}
// `address` is the peer address of the server's daemon, which accepts calls of other daemons.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/call_model/router.h"

namespace ramppond {

/// Parses the list. Returns std::nullopt if `json` is not a valid list.
std::optional<std::vector<ServerInfo>> parsePlatformList(const std::string& json);
/// Formats the list as the platform does; the inverse of parsePlatformList().
std::string formatPlatformList(const std::vector<ServerInfo>& servers);

}  // namespace ramppond
