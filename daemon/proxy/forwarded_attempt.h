// One attempt to have a forwarded request run by a server: the chosen instance, the exchange with
// the proxy beside it, and the answer so far.
//
// Belongs to a ForwardedRequest, which tells the directory when the attempt starts and ends. Used
// on the event loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "core/answers/own_answer.h"
#include "core/retries/attempt_end.h"
#include "daemon/proxy/forwarded_body.h"
#include "daemon/proxy/forwarded_outcome.h"
#include "daemon/proxy/forwarded_params.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// What earlier attempts at a request established that later attempts depend on.
struct forwarded_history {
  std::set<std::string> tried_addresses;  // proxy addresses of earlier attempts
  std::uint32_t arrivals = 0;             // attempts that reached a server
  std::uint32_t lost_runs = 0;            // servers lost while the request ran there
  bool may_have_run = false;              // in at least one attempt
  std::optional<Duration> blocked_for;

  void record(attempt_end end);
  void record(const peer_answer& answer);
};

/// No part of an answer has arrived.
struct no_answer_yet {};
/// The server's answer while it is buffered. It is relayed once complete, so that an answer whose
/// connection breaks can still be retried.
struct buffered_answer {
  HttpHead head;
  std::string body;
};
/// The server's answer after its head was relayed to the client: no other answer can be given.
struct streaming_answer {
  int status;
};
using attempt_answer = std::variant<no_answer_yet, peer_answer, buffered_answer, streaming_answer>;

class forwarded_attempt {
 public:
  /// Whether the peer has the end of the request body. No server runs a request without it.
  enum class body_end : std::uint8_t {
    unrestricted,  // the body is sent as it arrives
    withheld,      // the last chunk waits for the peer's confirmation
    confirmed,     // the last chunk was sent after the confirmation
  };

  forwarded_attempt(EventLoop& loop, KnownInstance& instance)
      : instance(instance), incarnation(instance.record.server_incarnation), confirm_timer(loop) {}

  /// Sends the request to the peer. If it must not run twice and its body is complete, its last
  /// chunk is withheld until confirm().
  void send(HttpClientPool& peer, HttpHead head, const forwarded_body& body, bool may_run_twice,
            const std::shared_ptr<ClientHandler>& handler);
  /// Sends the withheld last chunk; called when the peer has confirmed that there is room.
  void confirm();

  /// Whether the instance has been replaced by another incarnation since the request was sent.
  [[nodiscard]] auto is_superseded() const -> bool {
    return this->instance.record.server_incarnation != this->incarnation;
  }
  [[nodiscard]] auto awaits_confirmation() const -> bool {
    return this->end_state == body_end::withheld;
  }
  /// Whether a server may have received the complete request.
  [[nodiscard]] auto may_have_arrived() const -> bool {
    return this->upstream->sent() && !this->awaits_confirmation();
  }
  template <class Answer>
  [[nodiscard]] auto has() const -> bool {
    return std::holds_alternative<Answer>(this->answer);
  }

  KnownInstance& instance;
  std::string incarnation;  // of the server that the request was sent to
  std::shared_ptr<ClientExchange> upstream;
  attempt_answer answer;
  LoopTimer confirm_timer;  // runs while the last chunk is withheld

 private:
  body_end end_state = body_end::unrestricted;
};

/// Input to head_for_peer().
struct attempt_head_parts {
  const HttpHead& request;
  const forwarded_params& params;
  const forwarded_history& history;
  const KnownInstance& instance;
  const std::string& digest;
  const std::string& deadline_field;  // name of the deadline header
  Duration waited{0};                 // since the request was received
  Duration time_left{0};              // until the deadline
};
auto head_for_peer(const attempt_head_parts& parts) -> HttpHead;

}  // namespace ramppond
