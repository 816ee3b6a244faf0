#include "core/tenants/key_digest.h"

#include <sodium/crypto_hash_sha256.h>

namespace ramppond {

auto key_digest(std::string_view key) -> std::string {
  auto digest = std::string(crypto_hash_sha256_BYTES, '\0');
  crypto_hash_sha256(reinterpret_cast<unsigned char*>(digest.data()),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size());
  return digest;
}

}  // namespace ramppond
