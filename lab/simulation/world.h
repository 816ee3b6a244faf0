// What all simulated processes share: time, network, randomness, the history and the deployment.
#pragma once

#include <string>
#include <vector>

#include "core/call_port/overload_policy.h"
#include "core/random.h"
#include "lab/deployment.h"
#include "lab/history.h"
#include "lab/simulation/event_queue.h"
#include "lab/simulation/network.h"

namespace ramppond {

struct World {
  World(const Deployment& the_deployment, const OverloadPolicy& the_policy,
        const NetworkOptions& network_options, std::uint64_t seed)
      : deployment(the_deployment),
        policy(the_policy),
        random(seed),
        network(events, network_options, seed + 1) {}

  [[nodiscard]] TimePoint now() const { return events.now(); }
  void record(const HistoryEvent& event) { history.push_back(event); }
  /// An event of now, to be filled in and recorded.
  [[nodiscard]] HistoryEvent event(HistoryEventType type, const std::string& who) const {
    HistoryEvent event;
    event.time_us = now().count();
    event.type = type;
    event.who = who;
    return event;
  }

  const Deployment& deployment;
  OverloadPolicy policy;
  EventQueue events;
  Random random;
  SimulatedNetwork network;
  std::vector<HistoryEvent> history;
};

}  // namespace ramppond
