// Log lines of the forwarding path: one JSON object a line on standard output, for changes of state
// and sampled counters. Written without blocking: what a slow reader does not take is dropped and
// counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ramppond {

struct EventField {
  std::string_view key;
  std::string value;
};

/// Writes one line. `time_us` is the steady clock.
void logEvent(std::int64_t time_us, std::string_view event,
              const std::vector<EventField>& fields = {});

/// Lines dropped so far because the reader did not keep up.
std::uint64_t droppedEventLines();

}  // namespace ramppond
