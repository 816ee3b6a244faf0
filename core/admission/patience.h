// How long a request may wait for room at its server, as a share of its goal.
//
// A refusal is cheap only early, so a client's request that finds no room is
// told soon. A call that is refused wastes what its tree has cost, so it may
// wait longer; measured against how long a client's request may wait, its wait
// still tells that the server is short of room.
#pragma once

#include <cstdint>

#include "core/time.h"

namespace ramppond {

// Of the goal, for a client's request and for a server's call. A tree makes
// several calls one after the other: a half (measured too) costs more trees
// their goal than it saves.
constexpr std::int64_t patience_divisor = 5;
constexpr std::int64_t call_patience_divisor = 3;

constexpr auto patience_of(Duration goal, bool is_call) -> Duration {
  return goal / (is_call ? call_patience_divisor : patience_divisor);
}

/// The wait that means full pressure at the server, for a request with this
/// patience.
constexpr auto pressing_wait(Duration patience, bool is_call) -> Duration {
  return is_call ? patience * call_patience_divisor / patience_divisor : patience;
}

}  // namespace ramppond
