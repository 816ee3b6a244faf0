// A request of a client on this machine, or of the local server, from its head to its answer.
//
// Resolves what holds for the whole request (forwarded_params), makes attempts one after another
// through the proxies beside the servers of its service (forwarded_attempt), and relays the
// server's answer or gives one of this proxy's own. The rules are in core/ (retries/retry_rule,
// answers/own_answer); this class applies them. Owns the exchange with the client and the request's
// timers; the directory, the budgets and the counters belong to ProxyContext. Used on the event
// loop's thread.
//
// States and transitions:
//
//   kReceiving         The body arrives and is buffered. Once it is complete or too long to buffer,
//                      a server is chosen: kAttempting, or kWaitingForServer if none is known.
//   kWaitingForServer  The directory is polled for a server: kAttempting once there is one.
//   kAttempting        One attempt is in flight. If it ends without a server's answer, it is
//                      retried (kAttempting again) or this proxy answers itself. The server's
//                      answer is buffered until it is complete or exceeds the limit, and then
//                      relayed: kAnswering.
//   kAnswering         The server's answer is relayed. If it breaks off, the answer to the client
//                      is aborted.
//   kDone              The answer was sent or the client disconnected. Nothing is in flight.
//
// Every state but kDone changes to kDone when the proxy answers itself, at the deadline, or when
// the client disconnects.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/answers/own_answer.h"
#include "core/retries/retry_rule.h"
#include "daemon/proxy/forwarded_attempt.h"
#include "daemon/proxy/forwarded_body.h"
#include "daemon/proxy/forwarded_params.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class ForwardedRequest : public ExchangeHandler,
                         public ClientHandler,
                         public std::enable_shared_from_this<ForwardedRequest> {
 public:
  /// Handles `exchange` until it ends.
  static void serve(ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange);
  ForwardedRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange);
  ~ForwardedRequest() override;
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /// The proxy beside `instance` has stopped answering. A request that is waiting there and may be
  /// retried is sent elsewhere; any other keeps waiting, since it may still be running.
  void onPeerSilent(const KnownInstance& instance);
  /// The body is too long to buffer, or the memory for uploads is short: it is streamed from now
  /// on.
  void stopBuffering();

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
  /// Buffers a part of the body; streams the body if it becomes too long.
  void bufferBody(std::string_view data);
  /// Returns the memory of a buffered upload, if any.
  void releaseUpload();
  void onBodyTooLarge();
  void onDeadline();
  /// Whether this proxy, which may be stopping, still passes the request on to a server.
  [[nodiscard]] bool mayPassOn() const;
  /// Whether a server may have received the complete request in this or an earlier attempt.
  [[nodiscard]] bool mayHaveRun() const;
  /// The request has provably not run: it no longer counts against its tenant's limit.
  void refundQuota();
  /// Cancels the timers and ends the attempt. The caller answers the client.
  void done();

  /// Chooses a server and starts an attempt there, waits for a server, or answers without one.
  void attempt();
  void startAttempt(KnownInstance& instance, TimePoint now);
  void computeDigest();
  void onAdmissionTimeout();
  void endAttempt();
  void onAttemptFailed(attempt_failure failure);
  void onAttemptEnded(attempt_end end, const std::string& reason);
  /// Whether another attempt may follow one that ended with `end`. `arrivals` includes that
  /// attempt.
  [[nodiscard]] retry_verdict judgeRetry(attempt_end end, std::uint32_t arrivals) const;
  /// Charges a retry after `end` to the service's retry budget. Returns false if the budget does
  /// not allow it.
  bool spendRetryBudget(attempt_end end);
  /// Applies a verdict on `end`, charging the retry budget where required. Returns whether to
  /// retry.
  bool authorizeRetry(const retry_verdict& verdict, attempt_end end);
  void retry(const std::string& reason);

  void recordLoad(const HttpHead& head);
  void recordPeerAnswer(const peer_answer& answer);
  /// Relays the head of the server's answer and the body received so far.
  void startStreamingAnswer();
  /// Ends the request with an answer of this proxy and cancels an attempt in flight.
  void answerOwn(const own_answer& answer);
  void logOwnAnswer(const own_answer& answer, const std::string& last_peer);
  void recordOwnAnswer(const own_answer_form& form);
  void sendOwnAnswer(const own_answer& answer, std::optional<Duration> retry_after);
  /// The Retry-After time of the answer, randomized if the answer asks for spreading.
  [[nodiscard]] std::optional<Duration> retryAfter(const own_answer& answer);
  /// Aborts an answer whose head was already sent, so that the client sees that it is incomplete.
  void abortAnswer(std::string_view reason);
  [[nodiscard]] Duration timeLeft() const { return params_.deadline - EventLoop::now(); }

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  State state_ = State::kReceiving;
  forwarded_params params_;
  forwarded_body body_;
  std::optional<upload_id> upload_;  ///< Set while the body of an upload is buffered.
  std::string digest_;               ///< See kPeerDigest; computed for the first attempt.
  forwarded_history history_;
  std::optional<forwarded_attempt> attempt_;  ///< Set in kAttempting and kAnswering.
  LoopTimer deadline_timer_;
  LoopTimer wait_timer_;  ///< Runs in kWaitingForServer.
};

}  // namespace ramppond
