// The type of a rate of requests, and what a server may name as the most that it takes.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ramppond {

struct request_rate {
  double per_second = 0;
};
inline auto operator==(const request_rate& left, const request_rate& right) -> bool {
  return left.per_second == right.per_second;
}

/// Requests a second with three decimals; empty for none. For logs.
auto text_of(const std::optional<request_rate>& rate) -> std::string;

/// The limit that a server names, and what is offered to it of late as a multiple of that.
struct rate_load {
  request_rate limit;
  double demand = 0;
};

/// The answer names no limit: the server takes what it has slots for.
struct no_limit {};

/// The answer names a limit that cannot be read, so that what was named before still stands.
struct unreadable_limit {
  std::string reason;
};

/// The limit that one answer of a server names: requests that it takes from all callers together.
using named_limit = std::variant<no_limit, request_rate, unreadable_limit>;

/// From the values of all fields of one answer that are named `field`. One decimal number of 0 or
/// more is a limit; digits and at most one point, nothing else.
auto parse_limit(const std::string& field, const std::vector<std::string>& values) -> named_limit;

}  // namespace ramppond
