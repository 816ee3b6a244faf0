#include "core/call_port/seen_calls.h"

namespace ramppond {

bool SeenCalls::firstTime(const CallId& id, TimePoint now) {
  Sender& sender = senders_[id.sender];
  sender.last_call = now;
  if (id.sequence < sender.floor || !sender.seen.insert(id.sequence).second) {
    return false;
  }
  const std::uint64_t newest = *sender.seen.rbegin();
  if (newest > kWindow && newest - kWindow > sender.floor) {
    sender.floor = newest - kWindow;
    sender.seen.erase(sender.seen.begin(), sender.seen.lower_bound(sender.floor));
  }
  return true;
}

void SeenCalls::forgetIdleSenders(TimePoint now) {
  for (auto sender = senders_.begin(); sender != senders_.end();) {
    const bool idle = now - sender->second.last_call > kSenderMemory;
    sender = idle ? senders_.erase(sender) : std::next(sender);
  }
}

}  // namespace ramppond
