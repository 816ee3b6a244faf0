#include "core/crash_evidence/request_digest.h"

#include <sodium/crypto_generichash.h>

#include <array>
#include <charconv>
#include <cstring>

namespace ramppond {
namespace {

constexpr auto digest_bytes = std::size_t(16);
constexpr auto digits_per_half = std::size_t(16);
constexpr auto hexadecimal = 16;

// Each part is prefixed with its length, so that different lists of parts have different encodings.
void add_part(crypto_generichash_state& state, std::string_view part) {
  const auto length = static_cast<std::uint64_t>(part.size());
  auto prefix = std::array<unsigned char, sizeof(length)>();
  std::memcpy(prefix.data(), &length, sizeof(length));
  crypto_generichash_update(&state, prefix.data(), prefix.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                            part.size());
}

auto format_half(std::uint64_t half) -> std::string {
  auto digits = std::array<char, digits_per_half>();
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), half, hexadecimal).ptr;
  const auto text = std::string(digits.data(), end);
  return std::string(digits_per_half - text.size(), '0') + text;
}

auto parse_half(std::string_view text) -> std::optional<std::uint64_t> {
  auto half = std::uint64_t(0);
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, half, hexadecimal);
  return read.ec == std::errc() && read.ptr == end ? std::optional(half) : std::nullopt;
}

}  // namespace

auto digest_of(const request_identity& identity) -> request_digest {
  auto state = crypto_generichash_state();
  crypto_generichash_init(&state, nullptr, 0, digest_bytes);
  add_part(state, identity.method);
  add_part(state, identity.host);
  add_part(state, identity.target);
  add_part(state, identity.caller);
  add_part(state, identity.body.substr(0, digested_body_bytes));
  auto bytes = std::array<unsigned char, digest_bytes>();
  crypto_generichash_final(&state, bytes.data(), bytes.size());
  auto digest = request_digest();
  std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
  std::memcpy(&digest.low, bytes.data() + sizeof(digest.high), sizeof(digest.low));
  return digest;
}

auto format_digest(const request_digest& digest) -> std::string {
  return format_half(digest.high) + format_half(digest.low);
}

auto parse_digest(std::string_view text) -> std::optional<request_digest> {
  if (text.size() != 2 * digits_per_half) {
    return std::nullopt;
  }
  const auto high = parse_half(text.substr(0, digits_per_half));
  const auto low = parse_half(text.substr(digits_per_half));
  if (!high || !low) {
    return std::nullopt;
  }
  return request_digest{*high, *low};
}

}  // namespace ramppond
