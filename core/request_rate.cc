#include "core/request_rate.h"

#include <iomanip>
#include <sstream>

namespace ramppond {
namespace {

constexpr int decimals = 3;

}  // namespace

auto text_of(const std::optional<request_rate>& rate) -> std::string {
  if (!rate) {
    return "";
  }
  auto text = std::ostringstream();
  text << std::fixed << std::setprecision(decimals) << rate->per_second;
  return text.str();
}

}  // namespace ramppond
