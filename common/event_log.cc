#include "common/event_log.h"

#include <poll.h>
#include <unistd.h>

#include "common/json_string.h"

namespace ramppond {
namespace {

bool writable() {
  pollfd descriptor = {STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

}  // namespace

void logEvent(std::int64_t time_us, std::string_view event, const std::vector<EventField>& fields) {
  std::string line = "{\"t_us\":" + std::to_string(time_us) + ",\"event\":" + toJsonString(event);
  for (const EventField& field : fields) {
    line += ',' + toJsonString(field.key) + ':' + toJsonString(field.value);
  }
  line += "}\n";
  // A line of at most PIPE_BUF bytes is written whole or not at all.
  if (writable()) {
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    static_cast<void>(written);
  }
}

bool DecisionLimit::allow(std::int64_t time_us) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
  const std::int64_t second = time_us / kMicrosecondsPerSecond;
  if (second != second_) {
    second_ = second;
    written_ = 0;
    if (suppressed_ > 0) {
      logEvent(time_us, "suppressed",
               {{"of", std::string(event_)}, {"lines", std::to_string(suppressed_)}});
      suppressed_ = 0;
    }
  }
  if (written_ >= lines_per_second_) {
    suppressed_ += 1;
    return false;
  }
  written_ += 1;
  return true;
}

}  // namespace ramppond
