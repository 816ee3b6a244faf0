#include "net/stream/socket_quota.h"

#include <algorithm>

namespace ramppond {
namespace {

// Kept for files, listening sockets, timers and the event loop itself.
constexpr std::uint32_t reserved_descriptors = 256;
// A quarter is left for a burst that comes while idle connections are closed.
constexpr std::uint32_t scarce_percent = 75;
// The rest is for connections that peers open: accepting comes before opening.
constexpr std::uint32_t exhausted_percent = 95;

}  // namespace

void socket_quota::limit(descriptor_count most) {
  const auto kept = std::min(reserved_descriptors, most.value / 4);
  this->usable.value = std::max(1U, most.value - kept);
}

auto socket_quota::is_scarce() const -> bool {
  return this->usable.value > 0 &&
         this->open_sockets.value * 100 >= this->usable.value * scarce_percent;
}

auto socket_quota::is_exhausted() const -> bool {
  return this->usable.value > 0 &&
         this->open_sockets.value * 100 >= this->usable.value * exhausted_percent;
}

}  // namespace ramppond
