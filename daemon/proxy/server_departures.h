// Keeps the acknowledged departures of the local server in the control group.
//
// Carries out the calls that departure_recorder decides on, applies the departures of a former
// process to own_server, and holds reports of the server until they may be processed or answered.
// Relies on a session, channels and a server that outlive it. Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/event_log.h"
#include "core/lifecycle/departure_recorder.h"
#include "core/session/proxy_session.h"
#include "daemon/proxy/own_server.h"
#include "net/stream/control_channels.h"
#include "net/stream/event_loop.h"

namespace ramppond {

class server_departures {
 public:
  /// `own_address` identifies this proxy to the control group.
  server_departures(EventLoop& loop, ProxySession& session, ControlChannels& channels,
                    own_server& server, std::string own_address);

  /// Calls `process` from the event loop once reports may be processed. Reports keep their order.
  void when_processable(std::function<void()> process);
  /// Calls `done` from the event loop: with true once all departures announced so far are stored,
  /// or with false if they are not stored in time.
  void when_stored(std::function<void(bool stored)> done);
  /// Whether reports with further departures must be refused for now.
  [[nodiscard]] auto is_full() const -> bool { return this->recorder.is_full(); }
  /// Stores a departure that the server has announced.
  void announce(const server_departure& departure);
  /// Processes and answers the reports for which that is possible, and makes the call that is due
  /// if a leader is known. Must be called when a leader may have become known.
  void check();

 private:
  struct waiting_report {
    std::uint64_t last_announced = 0;
    TimePoint received{0};
    std::function<void(bool)> done;
  };
  void check_soon();
  void send(const departure_call& call);
  void on_reply(const departure_call& call, const std::optional<ControlReply>& reply);
  /// Applies the reply to a call that has not failed.
  void take(const departure_call& call, const ControlReply& reply, departure_result result);
  void process_reports();
  void answer_reports();
  void log(const departure_batch& batch, const char* state);

  ProxySession& session;
  ControlChannels& channels;
  own_server& server;
  departure_recorder recorder;
  LoopTimer timer;
  std::deque<std::function<void()>> unprocessed;  // reports, oldest first
  std::vector<waiting_report> unanswered;         // oldest first
  DecisionLimit lines{"departure"};
};

}  // namespace ramppond
