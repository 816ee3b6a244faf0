// Formats text as a JSON string (RFC 8259, section 7).
#pragma once

#include <string>
#include <string_view>

namespace ramppond {

/// Returns `text` in quotes, with quotes, backslashes and control characters escaped.
std::string toJsonString(std::string_view text);

}  // namespace ramppond
