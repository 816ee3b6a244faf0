// Remembers the ids of calls that a daemon has taken or refused, so that a late or doubled copy of
// one is never run.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/call_model/call.h"

namespace ramppond {

/// Per sender, a window of sequence numbers: below the window everything counts as seen. Strict
/// for as long as a sender is remembered; one is forgotten only after kSenderMemory without a
/// call, many times the longest deadline.
class SeenCalls {
 public:
  /// True the first time an id is given; false for every copy.
  bool firstTime(const CallId& id, TimePoint now);
  void forgetIdleSenders(TimePoint now);
  [[nodiscard]] std::size_t senderCount() const { return senders_.size(); }

  static constexpr std::uint64_t kWindow = 65536;
  static constexpr Duration kSenderMemory = seconds(900);

 private:
  struct Sender {
    std::uint64_t floor = 0;  ///< All sequences below count as seen.
    std::set<std::uint64_t> seen;
    TimePoint last_call{0};
  };
  std::map<std::uint64_t, Sender> senders_;
};

}  // namespace ramppond
