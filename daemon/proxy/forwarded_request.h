// A request of a client of this machine, or of its server, from its head to its answer.
//
// Settles what holds for the whole request (forwarded_terms), makes one attempt after the other at
// proxies beside servers of its service (forwarded_attempt), and passes the server's answer on or
// gives one of this proxy's own. The rules stand in core/ (retries/retry_rule,
// answers/own_answer); this class carries them out. Owns the exchange with the client and the
// request's timers; the directory, the budgets and the counters are those of ProxyContext. On the
// thread of the event loop.
//
// States and what leads from one to the next:
//
//   kReceiving         The body arrives and is held. When it is whole or too long to be held, a
//                      server is chosen: kAttempting, or kWaitingForServer if none is known.
//   kWaitingForServer  A server is looked for at intervals: kAttempting when there is one.
//   kAttempting        One attempt is under way. It ends without an answer of a server: kAttempting
//                      again by a retry, or an own answer. The server's answer is held up to a
//                      size, or until it is whole, and then begins to leave: kAnswering.
//   kAnswering         The server's answer is passed on. If it breaks off, so does the client's.
//   kDone              The answer has left, or the client has gone. Nothing is under way.
//
// Every state but kDone leads to kDone by an own answer, by the deadline, or when the client goes.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/answers/own_answer.h"
#include "core/retries/retry_rule.h"
#include "daemon/proxy/forwarded_attempt.h"
#include "daemon/proxy/forwarded_body.h"
#include "daemon/proxy/forwarded_terms.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class ForwardedRequest : public ExchangeHandler,
                         public ClientHandler,
                         public std::enable_shared_from_this<ForwardedRequest> {
 public:
  /// Takes over `exchange`.
  static void serve(ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange);
  ForwardedRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange);
  ~ForwardedRequest() override { context_.under_way.erase(this); }
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /// The proxy beside `instance` answers nothing any more. A request that waits there and may be
  /// retried goes elsewhere; any other waits on, since only time can tell whether it runs.
  void onPeerSilent(const KnownInstance& instance);

  void onRequestBody(std::string_view data) override;
  void onRequestEnd() override;
  void onClientGone() override;
  void onResponseDrained() override;

  void onInterim(int status) override;
  void onResponseHead(HttpHead head) override;
  void onResponseBody(std::string_view data) override;
  void onResponseEnd() override;
  void onRequestFailed(ClientFailure failure) override;
  void onRequestDrained() override;

 private:
  enum class State : std::uint8_t {
    kReceiving,
    kWaitingForServer,
    kAttempting,
    kAnswering,
    kDone,
  };

  void start();
  void onDeadline();
  /// Ends what is under way; the answer is the caller's to give.
  void done();

  /// Chooses a server and begins an attempt there, or waits for one, or gives up.
  void attempt();
  void begin(KnownInstance& instance, TimePoint now);
  void makeDigest();
  void onNotAdmitted();
  void endAttempt();
  void afterFailure(attempt_failure failure);
  void afterAttempt(attempt_end end, const std::string& reason);
  /// Whether another attempt may follow on one that ended so; `arrivals` counts that one too.
  [[nodiscard]] retry_verdict judgeRetry(attempt_end end, std::uint32_t arrivals) const;
  /// Takes a retry from the service's budget. False if there is not enough left.
  bool payForRetry();
  /// Carries out a verdict: pays where it asks for that. Whether the retry is to be made.
  bool obtainRetry(const retry_verdict& verdict);
  void retry(const std::string& reason);

  void noteLoad(const HttpHead& head);
  void notePeerAnswer(const peer_answer& answer);
  /// Passes on the head of the server's answer and what has come of its body.
  void releaseAnswer();
  /// Ends the request by an answer of this proxy; an attempt under way is given up.
  void answerOwn(const own_answer& answer);
  void logOwnAnswer(const own_answer& answer, const std::string& last_peer);
  void noteOwnAnswer(const own_answer_form& form);
  void respondOwn(const own_answer& answer, std::optional<Duration> retry_after);
  /// Draws the time where the answer asks for that.
  [[nodiscard]] std::optional<Duration> retryAfter(const own_answer& answer);
  /// The answer's head has left and its rest does not come: the client must see that.
  void breakOff();
  [[nodiscard]] Duration timeLeft() const { return terms_.deadline - EventLoop::now(); }

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  State state_ = State::kReceiving;
  forwarded_terms terms_;
  forwarded_body body_;
  std::string digest_;  ///< See kPeerDigest; made with the first attempt.
  forwarded_history history_;
  std::optional<forwarded_attempt> attempt_;  ///< In kAttempting and kAnswering.
  LoopTimer deadline_timer_;
  LoopTimer wait_timer_;  ///< Runs in kWaitingForServer.
};

}  // namespace ramppond
