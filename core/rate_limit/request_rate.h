// The type of a request rate, and the rate limit that a server may name in its answers.
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

/// Formats a rate for logs: requests per second with three decimals, empty for std::nullopt.
auto text_of(const std::optional<request_rate>& rate) -> std::string;

/// The limit that a server names, and the requests recently offered to it as a multiple of it.
struct rate_load {
  request_rate limit;
  double demand = 0;
};

/// The answer names no limit; only the slots of the server limit its requests.
struct no_limit {};

/// The answer names a limit that cannot be parsed, so that the previous limit stays in effect.
struct unreadable_limit {
  std::string reason;
};

/// The limit in one answer of a server. It applies to the requests of all callers together.
using named_limit = std::variant<no_limit, request_rate, unreadable_limit>;

/// Parses the values of all fields of one answer with the name `field`. A limit is a single decimal
/// number of 0 or more that consists of digits and at most one point.
auto parse_limit(const std::string& field, const std::vector<std::string>& values) -> named_limit;

}  // namespace ramppond
