// A digest that identifies equal requests independently of their ids.
//
// Computed from method, host, path with query, caller and the first 64 KiB of the body. The id is
// not included, since each attempt and each client retry has its own. Neither are the machine where
// a request enters and the service that runs there, since the same request may arrive at any
// machine. Uploads that differ only after the first 64 KiB have the same digest. Thread safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ramppond {

/// 128 bits of BLAKE2b. Collisions cannot be constructed, so no client can get the request of
/// another one blocked.
struct request_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, high);
    visitor(2, low);
  }
  friend auto operator==(const request_digest& a, const request_digest& b) -> bool {
    return a.high == b.high && a.low == b.low;
  }
  friend auto operator!=(const request_digest& a, const request_digest& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const request_digest& a, const request_digest& b) -> bool {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

/// Maximum number of body bytes in the digest, since a streamed body is forwarded before all of it
/// has arrived. With fewer, more uploads with the same beginning would have the same digest.
constexpr auto digested_body_bytes = std::size_t(65536);

/// The parts of a request that are included in its digest.
struct request_identity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view caller;  // the tenant; empty for none
  std::string_view body;
};

[[nodiscard]] auto digest_of(const request_identity& identity) -> request_digest;

/// Formats a digest as 32 hexadecimal digits.
[[nodiscard]] auto format_digest(const request_digest& digest) -> std::string;
/// Parses the result of format_digest(). Returns std::nullopt if the text is malformed.
[[nodiscard]] auto parse_digest(std::string_view text) -> std::optional<request_digest>;

}  // namespace ramppond

template <>
struct std::hash<ramppond::request_digest> {
  auto operator()(const ramppond::request_digest& digest) const noexcept -> std::size_t {
    return static_cast<std::size_t>(digest.low);
  }
};
