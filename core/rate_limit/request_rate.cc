#include "core/rate_limit/request_rate.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <sstream>

namespace ramppond {
namespace {

constexpr int decimals = 3;

// Returns std::nullopt if the text is not a decimal number.
auto decimal_of(const std::string& text) -> std::optional<double> {
  const auto is_part = [](unsigned char letter) {
    return std::isdigit(letter) != 0 || letter == '.';
  };
  char* end = nullptr;
  const auto value = std::strtod(text.c_str(), &end);
  const auto whole = !text.empty() && std::all_of(text.begin(), text.end(), is_part) &&
                     *end == '\0' && std::isfinite(value);
  return whole ? std::optional<double>(value) : std::nullopt;
}

}  // namespace

auto text_of(const std::optional<request_rate>& rate) -> std::string {
  if (!rate) {
    return "";
  }
  auto text = std::ostringstream();
  text << std::fixed << std::setprecision(decimals) << rate->per_second;
  return text.str();
}

auto parse_limit(const std::string& field, const std::vector<std::string>& values) -> named_limit {
  if (values.empty()) {
    return no_limit{};
  }
  const auto rate = values.size() == 1 ? decimal_of(values.front()) : std::nullopt;
  if (!rate) {
    return unreadable_limit{field + ": expected one decimal number of 0 or more, found '" +
                            values.front() + "' in one of " + std::to_string(values.size())};
  }
  return request_rate{*rate};
}

}  // namespace ramppond
