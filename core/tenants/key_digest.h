// Digests of API keys, the only form in which processes store, send and compare them.
//
// Plain keys appear only in the operator's document. A key cannot be computed from its digest, and
// the time taken to compare digests does not reveal how much of a wrong key is right. Stateless;
// may be called from any thread.
#pragma once

#include <string>
#include <string_view>

namespace ramppond {

/// Returns the SHA-256 digest of `key`, 32 bytes.
[[nodiscard]] auto key_digest(std::string_view key) -> std::string;

}  // namespace ramppond
