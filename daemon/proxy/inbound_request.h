// A request for the server beside this daemon, sent by a daemon: fenced, admitted, run, answered.
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

  /// There is room at the server; the request counts as under way.
  void onAdmitted();
  /// It waited for as long as it may.
  void onPatienceEnded();
  /// No other suspected request runs at the server.
  void onAlone();
  /// It waited for that for as long as it may.
  void onIsolationEnded();
  /// What is known of requests that end servers has changed while it waited for that.
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
    kReceiving,
    kIsolated,    ///< Waits until no other suspected request runs at the server.
    kWaiting,     ///< For room at the server.
    kConfirming,  ///< There is room; the end of the request is awaited.
    kRunning,
    kDone,
  };

  void start();
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
  void count(refusal_counter counter);
  void finishServerWork(ServerOutcome outcome);
  /// Adds what the daemon that sent the request is told of load here and below.
  void addLoad(HttpHead& head);
  [[nodiscard]] answer_progress answerProgress() const;
  /// It may go on for a moment at a server that is not waited for any more.
  void noteLeft();
  void noteLost();
  void done();

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  std::shared_ptr<ClientExchange> upstream_;
  State state_ = State::kReceiving;
  std::string incarnation_;
  std::string service_;
  std::string route_;
  std::optional<request_digest> digest_;
  AdmissionRequest admission_;
  TimePoint received_{0};
  TimePoint deadline_{0};
  TimePoint begun_{0};
  std::string body_;  ///< What came before the server took it.
  bool body_ended_ = false;
  std::optional<BodyForm> confirmed_by_end_;  ///< The request is confirmed by its end.
  LoopTimer confirm_timer_;
  std::optional<TimePoint> isolated_until_;
  std::optional<TimePoint> blocked_until_;
  suspicion suspicion_ = suspicion::heavy;  ///< Of one that is to run alone.
  bool alone_ = false;  ///< It began while no other suspected request ran at the server.
  bool repeatable_ = false;
  bool repeat_ = false;      ///< See kPeerRepeat.
  bool under_way_ = false;   ///< Counted by the admission.
  bool discarding_ = false;  ///< The server's answer says "not run": only its end is awaited.
  ServerOutcome outcome_ = ServerOutcome::kAnswered;  ///< As far as the answer's head tells.
};

}  // namespace ramppond
