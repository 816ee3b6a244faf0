// The ports of a deployment: every machine has an address of its own and uses the same ports.
#pragma once

#include <cstdint>
#include <string>

#include "net/stream/event_loop.h"

namespace ramppond::fake_platform {

struct Ports {
  std::uint16_t operators = 0;
  std::uint16_t members = 0;
  std::uint16_t clients = 0;
  std::uint16_t peers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t reports = 0;
  std::uint16_t server = 0;
};

/// Returns distinct ports of one address, chosen by the kernel.
Ports freePorts(EventLoop& loop, const std::string& host);

}  // namespace ramppond::fake_platform
