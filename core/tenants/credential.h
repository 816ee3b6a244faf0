// The credential of a request, as its header fields give it.
#pragma once

#include <cstdint>
#include <string>

namespace ramppond {

/// What a request carries as credential.
enum class CredentialForm : std::uint8_t {
  kNone = 0,   ///< The request carries no credential.
  kKey,        ///< It carries a key.
  kMalformed,  ///< It carries something else, or several credentials.
};

struct Credential {
  CredentialForm form = CredentialForm::kNone;
  std::string key;
};

}  // namespace ramppond
