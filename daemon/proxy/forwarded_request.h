// A request of a client of this machine, or of its server: routed, sent to the daemon beside a
// chosen server, repeated where that is allowed, answered.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "core/answers/own_answer.h"
#include "core/retries/retry_rule.h"
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

  /// The daemon beside `instance` answers nothing any more. A request that waits there and may be
  /// repeated goes elsewhere; any other waits on, since only time can tell whether it runs.
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
  void start();
  bool admitHead();
  /// Finds the tenant and takes the credential off the request, or answers at once.
  bool admitTenant();
  bool admitByQuota();
  /// Whether a client's request is refused at once for overload at a service that it needs.
  bool shed(Duration wanted);
  void noteLoad(const HttpHead& head);
  void attempt();
  void makeDigest();
  void send(HttpHead head);
  void releaseStreamedBody();
  void onNotAdmitted();
  /// Whether the attempt under way cannot have reached a server: its end is still held back.
  [[nodiscard]] bool heldBack() const { return confirms_ && !confirmed_; }
  void endAttempt();
  void afterFailure(attempt_failure failure, bool held_back);
  void afterAttempt(attempt_end end, const std::string& reason);
  void noteAttempt(attempt_end end);
  void repeat(const std::string& reason);
  /// Whether another attempt may follow on one that ended so; `arrivals` counts that one too.
  [[nodiscard]] retry_verdict judgeRetry(attempt_end end, std::uint32_t arrivals) const;
  /// Takes a retry from the service's budget. False if there is not enough left.
  bool payForRetry();
  /// Carries out a verdict: pays where it asks for that. Whether the retry is to be made.
  bool obtainRetry(const retry_verdict& verdict);
  void onDeadline();
  void readOutcome(const HttpHead& head);
  void releaseAnswer();
  void logOwnAnswer(int status, const std::string& reason, const std::string& last_peer);
  /// Ends the request by an answer of this daemon; an attempt under way is given up.
  void answerOwn(const own_answer& answer);
  void noteOwnAnswer(const own_answer_form& form);
  void respondOwn(const own_answer& answer, std::optional<Duration> retry_after);
  void finish();
  [[nodiscard]] Duration timeLeft() const { return deadline_ - EventLoop::now(); }
  /// Draws the time where the answer asks for that.
  [[nodiscard]] std::optional<Duration> retryAfter(const own_answer& answer);

  ProxyContext& context_;
  std::shared_ptr<ServerExchange> exchange_;
  std::shared_ptr<const TrafficInForce> traffic_;
  const TrafficRoute* route_ = nullptr;
  const TenantDefinition* tenant_ = nullptr;  ///< Of `traffic_`; none for calls of servers.
  std::uint32_t rank_ = 0;                    ///< See tenant_ranks.
  bool counted_by_quota_ = false;
  std::string service_;
  std::string digest_;  ///< See kPeerDigest; made with the first attempt.
  std::shared_ptr<ClientExchange> upstream_;
  KnownInstance* instance_ = nullptr;  ///< Of the attempt under way.
  std::set<std::string> tried_;
  LoopTimer deadline_timer_;
  LoopTimer wait_timer_;     ///< Runs while no server is known.
  LoopTimer confirm_timer_;  ///< Runs while the attempt's end is held back.
  TimePoint received_{0};
  TimePoint deadline_{0};
  std::string body_;  ///< Held for a further attempt.
  std::uint64_t body_bytes_ = 0;
  bool body_ended_ = false;
  bool is_call_ = false;  ///< Of the own server, or may be one.
  attributed_request attributed_;
  bool body_streamed_ = false;  ///< Parts of the body are no longer held: no second attempt.
  bool confirms_ = false;       ///< The attempt's end is held back until the peer has room.
  bool confirmed_ = false;      ///< It has been sent.
  bool over_ = false;
  bool own_answer_ = false;  ///< The attempt's answer was made by the peer daemon.
  attempt_end own_answer_end_ = attempt_end::not_sent;
  std::string own_answer_reason_;
  HttpHead answer_head_;
  std::string answer_body_;
  bool answer_held_ = false;     ///< The answer's head and first part wait for the rest.
  bool run_possible_ = false;    ///< Some attempt may have run.
  std::uint32_t arrivals_ = 0;   ///< Attempts that a server received.
  std::uint32_t lost_runs_ = 0;  ///< Servers that were lost while it ran there.
  std::optional<Duration> blocked_for_;
};

}  // namespace ramppond
