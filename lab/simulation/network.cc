#include "lab/simulation/network.h"

namespace ramppond {
namespace {

// A copy of a request turns up this much later at the most.
constexpr std::uint64_t kLatestCopyUs = 3000000;

}  // namespace

NodeNumber SimulatedNetwork::addNode(const std::string& zone, bool is_caller) {
  Node node;
  node.zone = zone;
  node.is_caller = is_caller;
  nodes_.push_back(std::move(node));
  return nodes_.size() - 1;
}

void SimulatedNetwork::onNode(NodeNumber node, Duration delay, std::function<void()> function) {
  const std::uint64_t epoch = nodes_[node].epoch;
  events_.after(delay, [this, node, epoch, function = std::move(function)] {
    Node& target = nodes_[node];
    if (!target.alive || target.epoch != epoch) {
      return;
    }
    if (target.frozen) {
      target.deferred.push_back(function);
      return;
    }
    function();
  });
}

bool SimulatedNetwork::cut(NodeNumber from, NodeNumber to) const {
  if (from == to) {
    return false;
  }
  if (cut_nodes_.count(from) != 0 || cut_nodes_.count(to) != 0) {
    return true;
  }
  const Node& a = nodes_[from];
  const Node& b = nodes_[to];
  if (a.is_caller || b.is_caller || a.zone == b.zone) {
    return false;
  }
  return cut_zones_.count(a.zone) != 0 || cut_zones_.count(b.zone) != 0;
}

Duration SimulatedNetwork::delay(NodeNumber from, NodeNumber to) {
  if (from == to) {
    return microseconds(20);
  }
  const Node& a = nodes_[from];
  const Node& b = nodes_[to];
  Duration base = options_.local_delay;
  if (a.is_caller || b.is_caller) {
    base = options_.client_delay;
  } else if (a.zone != b.zone) {
    base = options_.zone_delay;
  }
  const double jitter = 1.0 + options_.jitter_share * random_.uniform();
  return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * jitter) + 1);
}

ExchangeNumber SimulatedNetwork::request(NodeNumber from, NodeNumber to,
                                         const std::function<void(ExchangeNumber)>& deliver,
                                         std::function<void(ExchangeFailure)> failed,
                                         std::function<void()> requester_gone) {
  const ExchangeNumber number = next_exchange_++;
  exchanges_.emplace(
      number, Exchange{from, to, false, std::move(failed), std::move(requester_gone), false});
  const bool is_connected = connected_.count({from, to}) != 0;
  if (!nodes_[to].alive || !nodes_[to].port_open) {
    breakExchange(number, {true}, delay(from, to) * 2);
    return number;
  }
  if (cut(from, to)) {
    // Without a connection the attempt to open one times out and nothing was sent; on an open
    // one the request is lost in silence.
    if (!is_connected) {
      breakExchange(number, {true}, options_.connect_timeout);
    }
    return number;
  }
  if (random_.chance(options_.loss_probability)) {
    return number;
  }
  const Duration connecting = is_connected ? Duration(0) : options_.connect_cost;
  connected_.insert({from, to});
  const Duration arrival = delay(from, to) + connecting;
  onNode(to, arrival, [this, number, deliver] {
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      found->second.delivered = true;
      deliver(number);
    }
  });
  // A caller's request that arrives twice is a repeat by the caller: one it makes itself.
  if (!nodes_[from].is_caller && random_.chance(options_.copy_probability)) {
    const auto later = Duration(static_cast<std::int64_t>(random_.below(kLatestCopyUs)));
    onNode(to, arrival + later, [deliver] { deliver(0); });
  }
  return number;
}

void SimulatedNetwork::breakExchange(ExchangeNumber number, ExchangeFailure failure,
                                     Duration after) {
  const auto found = exchanges_.find(number);
  if (found == exchanges_.end() || found->second.broken) {
    return;
  }
  found->second.broken = true;
  onNode(found->second.from, after, [this, number, failure] {
    const auto position = exchanges_.find(number);
    if (position == exchanges_.end()) {
      return;
    }
    const auto failed = std::move(position->second.failed);
    exchanges_.erase(position);
    failed(failure);
  });
}

void SimulatedNetwork::respond(ExchangeNumber exchange, std::function<void()> receive) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) {
    return;
  }
  const NodeNumber from = found->second.from;
  const NodeNumber to = found->second.to;
  if (cut(from, to) || random_.chance(options_.loss_probability)) {
    return;  // The requester times out by itself.
  }
  onNode(from, delay(to, from), [this, exchange, receive = std::move(receive)] {
    if (exchanges_.erase(exchange) != 0) {
      receive();
    }
  });
}

void SimulatedNetwork::close(ExchangeNumber exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) {
    return;
  }
  const Exchange closed = std::move(found->second);
  exchanges_.erase(found);
  if (closed.delivered && closed.requester_gone && !cut(closed.from, closed.to)) {
    onNode(closed.to, delay(closed.from, closed.to), closed.requester_gone);
  }
}

void SimulatedNetwork::kill(NodeNumber node) {
  nodes_[node].alive = false;
  nodes_[node].frozen = false;
  nodes_[node].epoch += 1;
  nodes_[node].deferred.clear();
  for (auto pair = connected_.begin(); pair != connected_.end();) {
    const bool touches = pair->first == node || pair->second == node;
    pair = touches ? connected_.erase(pair) : std::next(pair);
  }
  std::vector<ExchangeNumber> as_receiver;
  std::vector<ExchangeNumber> as_requester;
  for (const auto& [number, exchange] : exchanges_) {
    if (exchange.to == node) {
      as_receiver.push_back(number);
    } else if (exchange.from == node) {
      as_requester.push_back(number);
    }
  }
  // The kernel resets the connections of a dead process.
  for (const ExchangeNumber number : as_receiver) {
    const Exchange& exchange = exchanges_.at(number);
    if (!cut(exchange.from, exchange.to)) {
      breakExchange(number, {false}, delay(exchange.to, exchange.from));
    }
  }
  for (const ExchangeNumber number : as_requester) {
    close(number);
  }
}

void SimulatedNetwork::revive(NodeNumber node) {
  nodes_[node].alive = true;
  nodes_[node].port_open = true;
}

void SimulatedNetwork::freeze(NodeNumber node) {
  nodes_[node].frozen = true;
}

void SimulatedNetwork::thaw(NodeNumber node) {
  nodes_[node].frozen = false;
  std::vector<std::function<void()>> deferred;
  deferred.swap(nodes_[node].deferred);
  for (auto& function : deferred) {
    onNode(node, Duration(0), std::move(function));
  }
}

}  // namespace ramppond
