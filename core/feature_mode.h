// Setting by which an operator switches an optional part on or off, or leaves it to a condition.
//
// Stateless and thread safe.
#pragma once

#include <cstdint>

namespace ramppond {

enum class feature_mode : std::uint8_t {
  automatic,  ///< Active while the condition of the part holds.
  on,
  off,
};

/// Returns whether the part is active. `condition`: what the part documents for `automatic`.
constexpr auto is_active(feature_mode mode, bool condition) -> bool {
  return mode == feature_mode::on || (mode == feature_mode::automatic && condition);
}

}  // namespace ramppond
