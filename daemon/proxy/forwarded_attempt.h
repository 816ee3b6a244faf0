// One attempt to have a forwarded request run: the server that was chosen, what is under way to the
// proxy beside it, and what has come back. Ends with the attempt.
//
// Belongs to a ForwardedRequest, which tells the directory of its begin and end. On the thread of
// the event loop.
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
#include "daemon/proxy/forwarded_terms.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// What earlier attempts at a request have left for the next one.
struct forwarded_history {
  std::set<std::string> tried;  // addresses of proxies
  std::uint32_t arrivals = 0;   // attempts that a server received
  std::uint32_t lost_runs = 0;  // servers that were lost while it ran there
  bool may_have_run = false;    // in some attempt
  std::optional<Duration> blocked_for;

  void note(attempt_end end);
  void note(const peer_answer& answer);
};

/// Nothing has come back.
struct no_answer_yet {};
/// The server's answer. It leaves when it is whole, so that one that breaks off can be retried.
struct held_answer {
  HttpHead head;
  std::string body;
};
/// The server's answer, with a head that has been passed on: no other answer can be given.
struct passed_answer {
  int status;
};
using attempt_answer = std::variant<no_answer_yet, peer_answer, held_answer, passed_answer>;

class forwarded_attempt {
 public:
  /// Whether the peer has the end of the request, without which no server runs it.
  enum class request_end : std::uint8_t {
    passed_on,  // goes out as it comes from the client
    held_back,  // until the peer confirms that there is room
    confirmed,  // sent after that
  };

  forwarded_attempt(EventLoop& loop, KnownInstance& instance)
      : instance(instance), incarnation(instance.record.server_incarnation), confirm_timer(loop) {}

  /// Hands the request over. Its end is held back if it must not run twice and its body is whole.
  void send(HttpClientPool& peer, HttpHead head, const forwarded_body& body, bool may_run_twice,
            const std::shared_ptr<ClientHandler>& handler);
  /// The peer has room: the end of the request follows.
  void confirm();

  /// Whether another incarnation has taken the place of the one that the request was sent to.
  [[nodiscard]] auto is_superseded() const -> bool {
    return this->instance.record.server_incarnation != this->incarnation;
  }
  [[nodiscard]] auto is_held_back() const -> bool { return this->end == request_end::held_back; }
  /// Whether a server can have received the whole request.
  [[nodiscard]] auto may_have_arrived() const -> bool {
    return this->upstream->sent() && !this->is_held_back();
  }
  template <class Answer>
  [[nodiscard]] auto has() const -> bool {
    return std::holds_alternative<Answer>(this->answer);
  }

  KnownInstance& instance;
  std::string incarnation;  // of the server that the request was sent to
  std::shared_ptr<ClientExchange> upstream;
  attempt_answer answer;
  LoopTimer confirm_timer;  // runs while the end is held back

 private:
  request_end end = request_end::passed_on;
};

/// The head of an attempt as the proxy beside `instance` takes it.
struct attempt_head {
  const HttpHead& request;
  const forwarded_terms& terms;
  const forwarded_history& history;
  const KnownInstance& instance;
  const std::string& digest;
  const std::string& deadline_field;  // name of the field
  Duration waited{0};                 // since the request came
  Duration time_left{0};              // until its deadline
};
auto head_for_peer(const attempt_head& parts) -> HttpHead;

}  // namespace ramppond
