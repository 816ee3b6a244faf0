// All decisions of one daemon, as a pure state machine. The daemon process and the simulator are
// two drivers of this class: they feed events and carry out the actions that come back.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/call_model/router.h"
#include "core/call_port/control_session.h"
#include "core/call_port/daemon_actions.h"
#include "core/call_port/front_door.h"
#include "core/call_port/inbound_calls.h"
#include "core/call_port/outbound_calls.h"

namespace ramppond {

struct DaemonOptions {
  std::string server;   ///< This server's name in the platform list.
  std::string service;  ///< The service its back end provides.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Drawn at random at each start; not zero.
  std::int64_t started_ms = 0;    ///< Wall clock of the start.
  std::uint32_t slots = 1;
  std::vector<std::string> control_addresses;
  std::vector<std::string> subscriptions;  ///< Services known to be called.
  OverloadPolicy policy;
  std::uint64_t random_seed = 1;
};

/// A call that the own back end makes.
struct EgressRequest {
  std::string handle;  ///< Of the call it is made for; anything else gives no rights.
  std::string service;
  CallPayload payload;
  std::string idempotency_key;
  bool repeatable = false;
  Duration deadline{0};  ///< Zero for the deadline of the call it is made for.
};

struct FrontCounters {
  std::uint64_t requests = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t egress_without_context = 0;
};

/// Not thread safe; the driver serialises all calls. Every method appends to `actions`, which the
/// driver carries out in order.
class DaemonCore {
 public:
  explicit DaemonCore(DaemonOptions options);

  void onFrontRequest(RequestToken token, const FrontRequest& request, TimePoint now,
                      DaemonActions& actions);
  void onEgressRequest(RequestToken token, const EgressRequest& request, TimePoint now,
                       DaemonActions& actions);
  /// The caller, or the own back end, closed the connection of a request.
  void onRequesterGone(RequestToken token, TimePoint now, DaemonActions& actions);

  void onPeerRequest(const CallRequest& request, TimePoint now, DaemonActions& actions);
  void onPeerGone(const CallId& id, TimePoint now, DaemonActions& actions);
  void onPeerAnswer(const CallId& attempt, const CallAnswer& answer, TimePoint now,
                    DaemonActions& actions);
  void onPeerFailure(const CallId& attempt, bool never_sent, TimePoint now, DaemonActions& actions);

  void onBackendAnswer(const CallId& id, const BackendAnswer& answer, TimePoint now,
                       DaemonActions& actions);
  void onBackendFailure(const CallId& id, bool never_sent, TimePoint now, DaemonActions& actions);

  void onControlReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                      TimePoint now, DaemonActions& actions);
  void tick(TimePoint now, DaemonActions& actions);

  void offerSavedConfiguration(const Configuration& configuration);
  /// Refuses all new work as not_run; what is under way finishes.
  void startDrain(TimePoint now);
  /// Nothing is under way, nothing is left to tell the control group, and for a while nobody has
  /// sent anything: the process may end.
  [[nodiscard]] bool drained(TimePoint now) const;

  [[nodiscard]] const DaemonOptions& options() const { return options_; }
  [[nodiscard]] const InboundCalls& inbound() const { return inbound_; }
  [[nodiscard]] const OutboundCalls& outbound() const { return outbound_; }
  [[nodiscard]] const ControlSession& session() const { return session_; }
  [[nodiscard]] const FrontCounters& frontCounters() const { return front_counters_; }

 private:
  void settle(TimePoint now, DaemonActions& actions);
  void deliver(OutboundResult result, TimePoint now, DaemonActions& actions);
  void answerAtOnce(RequestToken token, ErrorKind kind, Duration retry_after,
                    DaemonActions& actions);
  void takeConfiguration();

  DaemonOptions options_;
  Router router_;
  InboundCalls inbound_;
  OutboundCalls outbound_;
  ControlSession session_;
  FrontDoor front_;
  std::map<RequestToken, std::shared_ptr<CallScope>> front_requests_;
  bool draining_ = false;
  TimePoint drain_started_{0};
  TimePoint last_arrival_{0};
  FrontCounters front_counters_;
};

}  // namespace ramppond
