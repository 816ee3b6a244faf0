// Formats text as a JSON string (RFC 8259, section 7). Stateless and thread safe.
#pragma once

#include <string>
#include <string_view>

namespace ramppond {

/// Returns `text` in quotes, with quotes, backslashes and control characters escaped. Other bytes
/// stay as they are, so `text` must be UTF-8 for the result to be valid.
std::string toJsonString(std::string_view text);

}  // namespace ramppond
