// Drives DaemonCore, the class that the daemon process runs, in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/call_port/daemon_core.h"
#include "lab/simulation/simulated_backend.h"
#include "lab/simulation/world.h"

namespace ramppond {

class SimulatedControl;
class SimulatedDaemon;

/// Finds other processes by address.
struct Directory {
  std::map<std::string, SimulatedDaemon*> daemons;
  std::map<std::string, SimulatedControl*> controls;
};

class SimulatedDaemon {
 public:
  SimulatedDaemon(World& world, Directory& directory, std::string server, const ServiceSpec& spec,
                  std::string zone);

  void start();
  /// Daemon and back end die together.
  void kill();
  void restart(bool keep_disk);
  void freeze() { world_.network.freeze(node_); }
  void thaw() { world_.network.thaw(node_); }
  /// As SIGTERM: ends by itself when everything under way is finished.
  void stopAsPlanned();

  /// A caller's request as an exchange on the network.
  void onFrontRequest(ExchangeNumber exchange, const FrontRequest& request,
                      std::function<void(const CallAnswer&)> answered);
  void onFrontGone(ExchangeNumber exchange);
  /// `exchange` 0 is a late copy: nobody waits for its answer.
  void onPeerRequest(ExchangeNumber exchange, SimulatedDaemon* sender, const CallRequest& request);
  void onPeerGone(const CallId& id);

  [[nodiscard]] const std::string& name() const { return server_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::string& service() const { return spec_.name; }
  [[nodiscard]] const std::string& address() const { return server_; }
  [[nodiscard]] NodeNumber node() const { return node_; }
  [[nodiscard]] bool alive() const { return core_ != nullptr; }
  [[nodiscard]] const DaemonCore* core() const { return core_.get(); }
  SimulatedBackend& backend() { return *backend_; }

 private:
  template <class Event>
  void withCore(Event event);
  void perform(const DispatchToBackend& action);
  void perform(const CancelBackend& action);
  void perform(const AnswerPeer& action);
  void perform(const SendToPeer& action);
  void perform(const CancelPeer& action);
  void perform(const AnswerRequest& action);
  void perform(const SendToControl& action);
  void perform(const SaveConfiguration& action);
  void scheduleTick();
  void noteConfiguration();
  void forgetExchanges();
  void stopIfDrained();

  World& world_;
  Directory& directory_;
  std::string server_;
  const ServiceSpec& spec_;
  std::string zone_;
  NodeNumber node_;
  std::unique_ptr<DaemonCore> core_;
  std::unique_ptr<SimulatedBackend> backend_;
  Configuration saved_;  ///< The daemon's disk.
  std::uint64_t configuration_noted_ = 0;
  bool stopping_ = false;
  std::uint64_t starts_ = 0;
  RequestToken next_front_token_ = 2;
  std::map<ExchangeNumber, RequestToken> front_tokens_;
  struct FrontExchange {
    ExchangeNumber exchange = 0;
    std::function<void(const CallAnswer&)> answered;
  };
  std::map<RequestToken, FrontExchange> front_requests_;
  struct PeerExchange {
    ExchangeNumber exchange = 0;
    SimulatedDaemon* sender = nullptr;
  };
  std::map<CallId, PeerExchange> peer_exchanges_;    ///< Calls to be answered.
  std::map<CallId, ExchangeNumber> sent_exchanges_;  ///< Calls sent.
};

}  // namespace ramppond
