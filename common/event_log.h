// Log lines of the forwarding path: one JSON object a line on standard output, for changes of state
// and sampled counters. Written without blocking: what a slow reader does not take is dropped.
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

/// Bounds the lines of one kind of decision. Lines beyond the bound are counted, and the count is
/// written with the first line of a later second.
class DecisionLimit {
 public:
  explicit DecisionLimit(std::string_view event, std::uint32_t lines_per_second = 20)
      : event_(event), lines_per_second_(lines_per_second) {}
  /// Whether a line may be written now; ask before its fields are made.
  bool allow(std::int64_t time_us);
  [[nodiscard]] std::string_view event() const { return event_; }

 private:
  std::string_view event_;
  std::uint32_t lines_per_second_;
  std::int64_t second_ = 0;
  std::uint32_t written_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace ramppond
