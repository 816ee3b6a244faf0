// Tells the end of a server from the loss of single connections, and which
// requests it was at work on when it ended.
//
// A connection that ends without an answer says little: servers lose answers,
// break them off and reset connections while they live. The end of a process
// ends all its connections at once, and its address refuses new ones or another
// instance reports itself from there. Only the daemon beside a server sees all
// of that. A server that said that it leaves ends as planned. Pure, not thread
// safe.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

/// A server that ended without a word.
struct crashed_server {
  std::string instance_id;
  std::vector<request_digest> under_way;  // sorted, each once
  std::vector<request_digest> isolated;   // likewise; see server_run
};

/// A run of a request at the server beside this daemon.
struct server_run {
  std::string instance_id;
  request_digest digest;
  bool isolated = false;  // begun under suspicion while no other suspected one ran
};

class crash_detector {
 public:
  /// The connection on which the server was at work on a request ended before
  /// the answer did.
  void on_lost(const server_run& run, TimePoint now);
  /// Whoever had sent the request left before the answer: the server may have
  /// been at work on it for a moment longer.
  void on_left(const server_run& run, TimePoint now);
  /// A request that was begun at `begun` was answered, or a connection that was
  /// opened then stands: what was lost before was lost by a server that lives.
  void on_alive(TimePoint begun);
  /// The server that runs `instance_id` has ended: its address refuses
  /// connections and none stands, or another instance is there. Nothing if no
  /// request was lost with it.
  auto on_gone(const std::string& instance_id, TimePoint now) -> std::optional<crashed_server>;

  /// Whether requests were lost of which nobody knows yet if the server lives.
  [[nodiscard]] auto is_pending() const -> bool;

 private:
  struct lost_run {
    server_run run;
    TimePoint when{0};
    bool abandoned = false;
  };
  void add(const lost_run& lost);

  std::deque<lost_run> runs;
};

}  // namespace ramppond
