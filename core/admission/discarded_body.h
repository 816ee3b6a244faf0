// Bounds the body of an answer that nobody needs. It is read to its end only so that the connection
// can be used for another request; a longer one, which may never end, is not worth the wait.
#pragma once

#include "core/byte_count.h"

namespace ramppond {

constexpr auto max_discarded_body = byte_count{65536};

/// Whether to read on after `received` bytes of such a body. Otherwise the connection is closed.
[[nodiscard]] constexpr auto may_discard(byte_count received) -> bool {
  return received.value <= max_discarded_body.value;
}

}  // namespace ramppond
