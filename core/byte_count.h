// A number of bytes.
#pragma once

#include <cstdint>

namespace ramppond {

struct byte_count {
  std::uint64_t value = 0;
};

}  // namespace ramppond
