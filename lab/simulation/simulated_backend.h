// A back end in virtual time: slots, service times with a tail, cold start, internal calls.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/call_port/daemon_actions.h"
#include "core/call_port/daemon_core.h"
#include "lab/simulation/world.h"
#include "lab/work_body.h"

namespace ramppond {

/// Sends a call of the back end to its own daemon.
using EgressSender = std::function<void(RequestToken, const EgressRequest&)>;

class SimulatedBackend {
 public:
  struct Hooks {
    EgressSender send_egress;
    std::function<void(RequestToken)> egress_gone;
    std::function<void(const CallId&, const BackendAnswer&)> answer;
  };

  SimulatedBackend(World& world, NodeNumber node, std::string server, const ServiceSpec& spec,
                   Hooks hooks);

  void dispatch(const DispatchToBackend& dispatch);
  void cancel(const CallId& id);
  void onEgressAnswer(RequestToken token, const CallAnswer& answer);
  /// Everything in it is lost; it starts cold.
  void restart();
  void setSlowdown(double factor) { slowdown_ = factor; }
  /// Share of calls that it refuses although its health looks good.
  void setShedShare(double share) { shed_share_ = share; }

 private:
  struct Run {
    CallId id;
    const Route* route = nullptr;
    WorkBody body;
    std::string handle;
    std::size_t next_call = 0;
    std::size_t open_calls = 0;
    bool failed = false;
    std::map<RequestToken, std::string> calls;  ///< Token to position in the tree.
  };

  void startWaiting();
  void begin(Run run);
  void beginCalls(const CallId& id);
  void sendCall(Run& run);
  void finish(const CallId& id);
  [[nodiscard]] double coldFactor() const;

  World& world_;
  NodeNumber node_;
  std::string server_;
  const ServiceSpec& spec_;
  Hooks hooks_;
  double slowdown_ = 1;
  double shed_share_ = 0;
  TimePoint started_{-10000000};
  std::uint64_t order_ = 0;
  RequestToken next_token_ = 1;
  std::map<std::uint64_t, Run> waiting_;  ///< In order of arrival.
  std::map<CallId, Run> running_;
};

}  // namespace ramppond
