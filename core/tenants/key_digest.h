// The form in which keys are held and compared.
//
// Only the operator's document holds keys. Proxies and messages between processes hold their
// digests, from which a key can't be computed; a comparison of digests doesn't show how much of a
// wrong key is right. Pure; any thread.
#pragma once

#include <string>
#include <string_view>

namespace ramppond {

/// SHA-256 of a key, 32 bytes.
[[nodiscard]] auto key_digest(std::string_view key) -> std::string;

}  // namespace ramppond
