// Decides how long a request may wait for a free slot at its server.
//
// Input: the goal of the request's route (microseconds, from arrival to answer) and whether a
// server sent it (a call) or a client. Output: the longest wait, and the wait that the overload
// controller counts as full pressure. Holds no state; any thread.
//
// A refusal helps a client only while there is time to try elsewhere, so a client's request is
// refused early. A refused call wastes the work of its tree so far, so a call may wait longer. Both
// kinds count against the client's bound as pressure, since a call that waits that long shows the
// same lack of slots.
#pragma once

#include <cstdint>

#include "core/time.h"

namespace ramppond {

// The goal is divided by these. Smaller (longer waits): a tree makes several calls one after the
// other, and their waits add up to more than the goal of its root. Larger: bursts that would drain
// in time are refused.
constexpr std::int64_t patience_divisor = 5;
constexpr std::int64_t call_patience_divisor = 3;

constexpr auto patience_of(Duration goal, bool is_call) -> Duration {
  return goal / (is_call ? call_patience_divisor : patience_divisor);
}

/// The wait that counts as full pressure at the server, for a request with this patience.
constexpr auto reference_wait(Duration patience, bool is_call) -> Duration {
  return is_call ? patience * call_patience_divisor / patience_divisor : patience;
}

}  // namespace ramppond
