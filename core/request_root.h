// The client's request at the root of a call tree, as proxies pass it along with every call.
//
// A call of a server carries nothing that tells whose request it serves. The proxy beside the
// server knows its runs (core/retries/call_attribution.h) and passes the root of the run on, so
// that a queue deep in the tree can rank a call by the client's request and charge its caller.
// Stateless and thread safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ramppond {

struct request_root {
  std::uint32_t rank = 0;   ///< Of the client's request; see tenant_ranks.
  bool repeatable = false;  ///< Whether its client may send it again after a failure.
  std::string caller = {};  ///< See caller_name(); empty if unknown.
};

inline auto operator==(const request_root& left, const request_root& right) -> bool {
  return left.rank == right.rank && left.repeatable == right.repeatable &&
         left.caller == right.caller;
}

/// Returns the name under which requests of `tenant` (empty if there is none) on `route` are
/// charged for scarce capacity.
inline auto caller_name(std::string_view tenant, std::string_view route) -> std::string {
  auto name = std::string(tenant);
  name += '/';
  name += route;
  return name;
}

}  // namespace ramppond
