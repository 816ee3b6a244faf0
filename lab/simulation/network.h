// Simulated machines and the exchanges between them: delay, loss, cuts, copies, kills and freezes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "lab/simulation/event_queue.h"

namespace ramppond {

using NodeNumber = std::size_t;
using ExchangeNumber = std::uint64_t;

struct NetworkOptions {
  Duration local_delay = microseconds(50);  ///< One way, within a zone.
  Duration zone_delay{0};                   ///< One way, between zones.
  Duration client_delay{0};                 ///< One way, from and to callers.
  Duration connect_cost = milliseconds(1);  ///< First exchange of a pair.
  Duration connect_timeout = milliseconds(500);
  double jitter_share = 0.2;    ///< Of the delay, uniform.
  double copy_probability = 0;  ///< That a request is delivered a second time, late.
  double loss_probability = 0;  ///< That a request or an answer is lost.
};

/// What the requester of an exchange is told when no answer comes.
struct ExchangeFailure {
  bool never_sent = false;
};

class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& events, NetworkOptions options, std::uint64_t random_seed)
      : events_(events), options_(options), random_(random_seed) {}

  NodeNumber addNode(const std::string& zone, bool is_caller);
  [[nodiscard]] const std::string& zoneOf(NodeNumber node) const { return nodes_[node].zone; }
  [[nodiscard]] bool alive(NodeNumber node) const { return nodes_[node].alive; }
  [[nodiscard]] bool frozen(NodeNumber node) const { return nodes_[node].frozen; }

  /// Runs `function` on `node` after `delay`, unless it was killed meanwhile; a frozen node runs
  /// it when it thaws.
  void onNode(NodeNumber node, Duration delay, std::function<void()> function);

  /// Sends a request. `deliver` runs at the receiver with the number to answer to; copies and
  /// answers after `close` go nowhere. `failed` runs at the requester if the exchange breaks.
  ExchangeNumber request(NodeNumber from, NodeNumber to,
                         const std::function<void(ExchangeNumber)>& deliver,
                         std::function<void(ExchangeFailure)> failed,
                         std::function<void()> requester_gone);
  /// Answers once; `receive` runs at the requester.
  void respond(ExchangeNumber exchange, std::function<void()> receive);
  /// The requester closes its connection; the receiver is told.
  void close(ExchangeNumber exchange);

  /// A planned stop: new requests are refused, those on their way still arrive.
  void closePort(NodeNumber node) { nodes_[node].port_open = false; }
  void kill(NodeNumber node);
  void revive(NodeNumber node);
  void freeze(NodeNumber node);
  void thaw(NodeNumber node);
  /// Cuts a zone off from all others, or joins it again. Callers reach every zone.
  void cutZone(const std::string& zone) { cut_zones_.insert(zone); }
  void joinZone(const std::string& zone) { cut_zones_.erase(zone); }
  /// Cuts one node off from everybody.
  void cutNode(NodeNumber node) { cut_nodes_.insert(node); }
  void joinNode(NodeNumber node) { cut_nodes_.erase(node); }
  NetworkOptions& options() { return options_; }

 private:
  struct Node {
    std::string zone;
    bool is_caller = false;
    bool alive = true;
    bool port_open = true;
    bool frozen = false;
    std::uint64_t epoch = 0;  ///< Counts its kills.
    std::vector<std::function<void()>> deferred;
  };
  struct Exchange {
    NodeNumber from = 0;
    NodeNumber to = 0;
    bool delivered = false;
    std::function<void(ExchangeFailure)> failed;
    std::function<void()> requester_gone;
    bool broken = false;  ///< Its failure is on the way to the requester.
  };

  [[nodiscard]] bool cut(NodeNumber from, NodeNumber to) const;
  Duration delay(NodeNumber from, NodeNumber to);
  void breakExchange(ExchangeNumber number, ExchangeFailure failure, Duration after);

  EventQueue& events_;
  NetworkOptions options_;
  Random random_;
  std::vector<Node> nodes_;
  std::set<std::string> cut_zones_;
  std::set<NodeNumber> cut_nodes_;
  std::set<std::pair<NodeNumber, NodeNumber>> connected_;
  std::map<ExchangeNumber, Exchange> exchanges_;
  ExchangeNumber next_exchange_ = 1;
};

}  // namespace ramppond
