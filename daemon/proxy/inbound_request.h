// A peer's request for the local server: fenced, isolated if suspected, admitted, run, answered.
//
// Owns both exchanges and the state of the request. The decisions are made in core/admission; this
// class decodes their input and applies them. Relies on a context that outlives it. Used on the
// event loop's thread.
#pragma once

#include <memory>
#include <string>

#include "core/admission/inbound_refusal.h"
#include "core/admission/isolation_rule.h"
#include "core/admission/run_outcome.h"
#include "core/byte_count.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class InboundRequest : public ExchangeHandler,
                       public ClientHandler,
                       public std::enable_shared_from_this<InboundRequest> {
 public:
  /// Handles `exchange` until it ends.
  static void serve(ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange);
  InboundRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange);

  /// The request was admitted and counts as in flight at the server.
  void onAdmitted();
  /// The request was removed from the full queue in favour of a caller within its share.
  void onEvicted();
  /// The request reached its maximum queueing time.
  void onQueueTimeout();
  /// No other suspected request runs at the server: this one may run in isolation.
  void onIsolated();
  /// The request reached its maximum wait for isolation.
  void onIsolationTimeout();
  /// The records of requests that crash servers have changed while this one waited for isolation.
  void reconsider();

  void onRequestBody(std::string_view data) override;
  void onRequestEnd() override;
  void onClientGone() override;
  void onResponseDrained() override;

  void onResponseHead(HttpHead head) override;
  void onResponseBody(std::string_view data) override;
  void onResponseEnd() override;
  void onRequestFailed(ClientFailure failure) override;
  void onRequestDrained() override;

 private:
  enum class State : std::uint8_t {
    kReceiving,          ///< Not enough of the body has arrived yet.
    kAwaitingIsolation,  ///< Waits until no other suspected request runs at the server.
    kAwaitingAdmission,
    kAwaitingConfirmation,  ///< Admitted; waits for the withheld last chunk.
    kRunning,               ///< Sent to the server.
    kDone,
  };

  void start();
  /// Reads the header fields that the sending proxy added, and removes them.
  void decodeHead();
  /// Enough of the request has arrived: decides how to run it from the crash records of its digest.
  void begin();
  void isolate(suspicion level);
  void refuseBlocked(TimePoint until);
  void requestAdmission();
  void requestConfirmation();
  /// Reserves memory for a withheld body that exceeds the usual buffer. Returns false if there is
  /// none.
  bool reserveBodyMemory();
  void releaseBodyMemory();
  void onConfirmed();
  void onConfirmationTimeout();
  void dispatch();
  [[nodiscard]] bool hasRequiredBody() const;
  bool refuseIfFenced();
  /// Answers in place of the server and ends the request.
  void refuse(inbound_refusal refusal);
  /// Refuses the request because the server's announced rate limit cannot admit it in time.
  void refuseForRate();
  void logRefusal(const std::string& outcome, const std::string& reason, TimePoint now);
  /// Ends an answer whose head was forwarded, so that the sender sees that it is incomplete.
  void cutAnswer(run_failure failure);
  void count(refusal_counter counter);
  void finishServerWork(ServerOutcome outcome);
  /// Counts a part of the body of an answer that says "not run", and ends the request if the body
  /// is too long to wait for its end.
  void discard(std::string_view data);
  /// Ends the request's run by the answer whose head has arrived.
  void finishAnswered();
  /// Processes the header fields by which the server reports on itself.
  void processServerHeaders(const HttpHead& head);
  /// Adds the local server's load, and the overload of services further down, for the sending
  /// proxy.
  void addLoadHeaders(HttpHead& head);
  /// The excess of the request's caller at the local server, when the request was judged or now, or
  /// at services further down: the highest of these.
  [[nodiscard]] reported_excess reportedExcess() const;
  [[nodiscard]] answer_progress answerProgress() const;
  /// The request was abandoned; the server may keep working on it for a moment.
  void reportAbandonedRun();
  void reportLostRun();
  void done();

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  std::shared_ptr<ClientExchange> upstream_;
  State state_ = State::kReceiving;
  std::string incarnation_;  ///< Incarnation that the request is addressed to.
  std::string service_;
  std::string route_;
  std::optional<request_digest> digest_;
  AdmissionRequest admission_;
  double judged_excess_ = 0;              ///< Of its caller when the request was judged, 0 to 1.
  std::optional<upload_id> body_memory_;  ///< Set while memory is reserved for a long body.
  TimePoint received_{0};
  TimePoint deadline_{0};
  /// When the circuit breaker admitted the request; set until the request is dispatched.
  std::optional<TimePoint> breaker_admitted_;
  TimePoint begun_{0};                   ///< When the request was admitted.
  std::optional<TimePoint> begun_work_;  ///< The same by machine_slowdown::work_clock().
  std::string body_;  ///< Bytes received before the request was sent to the server.
  bool body_ended_ = false;
  std::optional<WithheldBody> withheld_body_;  ///< Set if the sender withholds the last chunk.
  LoopTimer confirm_timer_;
  std::optional<TimePoint> isolated_until_;  ///< End of the wait for isolation, once started.
  std::optional<TimePoint> blocked_until_;
  suspicion suspicion_ = suspicion::heavy;  ///< Level of a request that must run in isolation.
  bool isolated_ = false;  ///< Submitted while no other suspected request ran at the server.
  bool retryable_ = false;
  bool is_retry_ = false;    ///< A server may have run it before; see kPeerRetry.
  bool in_flight_ = false;   ///< Counted as in flight by the admission.
  bool discarding_ = false;  ///< The server's answer says "not run": its body is discarded.
  byte_count discarded_;     ///< Received of that body.
  ServerOutcome outcome_ = ServerOutcome::kAnswered;  ///< Judged by the head of the answer.
};

}  // namespace ramppond
