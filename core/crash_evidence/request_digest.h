// A digest by which a request is known again, whatever its id.
//
// Made of method, host, path with query, caller and the first 64 KiB of the body.
// Each attempt and each retry of a client has an id of its own, so the id is no
// part of it; nor are the machine at which a request begins and the service that
// runs there, since the same request may come at any machine. Two uploads that
// differ later only count as one. Pure, thread safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ramppond {

/// 128 bits of BLAKE2b, which nobody can make collide: no request can be sent that
/// gets another one blocked.
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

/// Of a longer body this many bytes count: a streamed body leaves before all of it
/// has come. Fewer, and uploads with the same beginning count as one.
constexpr auto digested_body_bytes = std::size_t(65536);

/// What of a request goes into its digest.
struct request_identity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view caller;  // the tenant; empty for none
  std::string_view body;
};

[[nodiscard]] auto digest_of(const request_identity& identity) -> request_digest;

/// 32 hexadecimal digits.
[[nodiscard]] auto format_digest(const request_digest& digest) -> std::string;
/// Nothing if the text is not of that form.
[[nodiscard]] auto parse_digest(std::string_view text) -> std::optional<request_digest>;

}  // namespace ramppond

template <>
struct std::hash<ramppond::request_digest> {
  auto operator()(const ramppond::request_digest& digest) const noexcept -> std::size_t {
    return static_cast<std::size_t>(digest.low);
  }
};
