// The credential that a request carries in its header fields.
#pragma once

#include <cstdint>
#include <string>

namespace ramppond {

/// The kind of credential that a request carries.
enum class CredentialForm : std::uint8_t {
  kNone = 0,   ///< No credential.
  kKey,        ///< One API key.
  kMalformed,  ///< Not an API key, or several credentials.
};

struct Credential {
  CredentialForm form = CredentialForm::kNone;
  std::string key;
};

}  // namespace ramppond
