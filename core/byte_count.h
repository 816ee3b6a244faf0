// A number of bytes, so that sizes are not mixed up with other counts in parameters.
#pragma once

#include <cstdint>

namespace ramppond {

struct byte_count {
  std::uint64_t value = 0;
};

}  // namespace ramppond
