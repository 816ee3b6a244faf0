#include "common/json_string.h"

namespace ramppond {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;

}  // namespace

std::string toJsonString(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char letter : text) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
      quoted += letter;
    } else if (code < kFirstPrintable) {
      quoted += "\\u00";
      quoted += kDigits[code >> 4U];
      quoted += kDigits[code & 0xFU];
    } else {
      quoted += letter;
    }
  }
  quoted += '"';
  return quoted;
}

}  // namespace ramppond
