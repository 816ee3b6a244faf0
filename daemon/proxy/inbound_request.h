// A request of a peer for the own server: fenced, isolated if suspected, admitted, run, answered.
//
// Owns the two exchanges and where the request is on its way. The decisions are in core/admission;
// this class decodes what they need, asks them, and carries them out. Relies on a context that
// outlives it; on the thread of the event loop.
#pragma once

#include <memory>
#include <string>

#include "core/admission/inbound_refusal.h"
#include "core/admission/isolation_rule.h"
#include "core/admission/run_outcome.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class InboundRequest : public ExchangeHandler,
                       public ClientHandler,
                       public std::enable_shared_from_this<InboundRequest> {
 public:
  /// Takes over `exchange`.
  static void serve(ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange);
  InboundRequest(ProxyContext& context, std::shared_ptr<ServerExchange> exchange);

  /// There is room at the server; the request counts as under way there.
  void onAdmitted();
  /// It waited for room for as long as it may.
  void onPatienceEnded();
  /// No other suspected request runs at the server.
  void onAlone();
  /// It waited to run alone for as long as it may.
  void onIsolationTimeout();
  /// What is known of requests that crash servers has changed while it waited to run alone.
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
    kReceiving,          ///< What is needed to begin has not come yet.
    kAwaitingIsolation,  ///< Until no other suspected request runs at the server.
    kAwaitingRoom,
    kAwaitingEnd,  ///< There is room; the sender was asked for the end that it holds back.
    kRunning,      ///< At the server.
    kDone,
  };

  void start();
  /// Takes the fields that the sending proxy added, and removes them.
  void decodeHead();
  /// Everything has come that is needed: decides by what is known of requests like this one.
  void begin();
  void isolate(suspicion level);
  void refuseBlocked(TimePoint until);
  void askAdmission();
  void askConfirmation();
  void onConfirmed();
  void onNotConfirmed();
  void dispatch();
  [[nodiscard]] bool bodyArrived() const;
  bool refuseIfFenced();
  /// Answers in place of the server and ends the request.
  void refuse(inbound_refusal refusal);
  /// The server names a rate that leaves no place for it in time.
  void refuseForRate();
  void logRefusal(const std::string& outcome, const std::string& reason, TimePoint now);
  void count(refusal_counter counter);
  void finishServerWork(ServerOutcome outcome);
  /// Takes what the head of the server's answer says of the server itself.
  void noteServer(const HttpHead& head);
  /// Adds the load of the own server, and overload further down, for the sending proxy.
  void addLoad(HttpHead& head);
  [[nodiscard]] answer_progress answerProgress() const;
  /// Nobody waits for the server any more; it may work on the request for a moment longer.
  void tellGuardOfLeaving();
  void tellGuardOfLoss();
  void done();

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  std::shared_ptr<ClientExchange> upstream_;
  State state_ = State::kReceiving;
  std::string incarnation_;  ///< That the request is meant for.
  std::string service_;
  std::string route_;
  std::optional<request_digest> digest_;
  AdmissionRequest admission_;
  TimePoint received_{0};
  TimePoint deadline_{0};
  TimePoint begun_{0};  ///< When there was room.
  std::string body_;    ///< What came before the request was handed to the server.
  bool body_ended_ = false;
  std::optional<BodyForm> held_back_;  ///< If its sender holds back its end.
  LoopTimer confirm_timer_;
  std::optional<TimePoint> isolated_until_;  ///< The latest; set when it first waits to run alone.
  std::optional<TimePoint> blocked_until_;
  suspicion suspicion_ = suspicion::heavy;  ///< Of one that is to run alone.
  bool alone_ = false;  ///< It began while no other suspected request ran at the server.
  bool retryable_ = false;
  bool retry_ = false;       ///< A server may have run it before; see kPeerRetry.
  bool under_way_ = false;   ///< Counted by the admission.
  bool discarding_ = false;  ///< The server's answer says "not run": only its end is awaited.
  ServerOutcome outcome_ = ServerOutcome::kAnswered;  ///< As far as the answer's head tells.
};

}  // namespace ramppond
