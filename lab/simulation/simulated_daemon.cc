#include "lab/simulation/simulated_daemon.h"

#include "lab/simulation/simulated_control.h"

namespace ramppond {
namespace {

constexpr Duration kTickInterval = milliseconds(5);

}  // namespace

SimulatedDaemon::SimulatedDaemon(World& world, Directory& directory, std::string server,
                                 const ServiceSpec& spec, std::string zone)
    : world_(world),
      directory_(directory),
      server_(std::move(server)),
      spec_(spec),
      zone_(std::move(zone)),
      node_(world.network.addNode(zone_, false)) {
  SimulatedBackend::Hooks hooks;
  hooks.send_egress = [this](RequestToken token, const EgressRequest& request) {
    withCore([&](DaemonActions& actions) {
      core_->onEgressRequest(token, request, world_.now(), actions);
    });
  };
  hooks.egress_gone = [this](RequestToken token) {
    world_.network.onNode(node_, Duration(0), [this, token] {
      withCore(
          [&](DaemonActions& actions) { core_->onRequesterGone(token, world_.now(), actions); });
    });
  };
  hooks.answer = [this](const CallId& id, const BackendAnswer& answer) {
    withCore(
        [&](DaemonActions& actions) { core_->onBackendAnswer(id, answer, world_.now(), actions); });
  };
  backend_ = std::make_unique<SimulatedBackend>(world_, node_, server_, spec_, std::move(hooks));
  directory_.daemons[address()] = this;
}

template <class Event>
void SimulatedDaemon::withCore(Event event) {
  if (core_ == nullptr) {
    return;
  }
  DaemonActions actions;
  event(actions);
  for (const DaemonAction& action : actions) {
    std::visit([this](const auto& typed) { perform(typed); }, action);
  }
  noteConfiguration();
}

void SimulatedDaemon::start() {
  DaemonOptions options;
  options.server = server_;
  options.service = spec_.name;
  options.zone = zone_;
  options.incarnation = world_.random.next() | 1U;
  options.started_ms = world_.now().count() / 1000 + 1;
  options.slots = spec_.slots;
  options.policy = world_.policy;
  options.random_seed = world_.random.next();
  for (const auto& [control_address, control] : directory_.controls) {
    options.control_addresses.push_back(control_address);
  }
  core_ = std::make_unique<DaemonCore>(std::move(options));
  core_->offerSavedConfiguration(saved_);
  stopping_ = false;
  starts_ += 1;
  scheduleTick();
}

void SimulatedDaemon::scheduleTick() {
  world_.network.onNode(node_, kTickInterval, [this, start = starts_] {
    if (core_ == nullptr || start != starts_) {
      return;
    }
    withCore([&](DaemonActions& actions) { core_->tick(world_.now(), actions); });
    stopIfDrained();
    scheduleTick();
  });
}

void SimulatedDaemon::noteConfiguration() {
  const ControlSession& session = core_->session();
  const std::uint64_t index = session.configuration().version.index;
  if (!session.ready() || index == configuration_noted_) {
    return;
  }
  configuration_noted_ = index;
  HistoryEvent event = world_.event(HistoryEventType::kConfigurationInForce, server_);
  event.number = index;
  world_.record(event);
}

void SimulatedDaemon::kill() {
  if (core_ == nullptr) {
    return;
  }
  world_.network.kill(node_);
  forgetExchanges();
  world_.record(world_.event(HistoryEventType::kServerKilled, server_));
}

void SimulatedDaemon::restart(bool keep_disk) {
  if (core_ != nullptr) {
    return;
  }
  if (!keep_disk) {
    saved_ = Configuration{};
    configuration_noted_ = 0;
  }
  world_.network.revive(node_);
  backend_->restart();
  start();
}

void SimulatedDaemon::stopAsPlanned() {
  if (core_ == nullptr) {
    return;
  }
  world_.record(world_.event(HistoryEventType::kBackendDraining, server_));
  core_->startDrain(world_.now());
  stopping_ = true;
}

void SimulatedDaemon::stopIfDrained() {
  if (!stopping_ || core_ == nullptr || !core_->drained(world_.now())) {
    return;
  }
  // The port is closed first; what has already arrived is still answered.
  stopping_ = false;
  world_.network.closePort(node_);
  world_.network.onNode(node_, milliseconds(100), [this] {
    world_.record(world_.event(HistoryEventType::kBackendStopped, server_));
    world_.network.kill(node_);
    forgetExchanges();
  });
}

void SimulatedDaemon::forgetExchanges() {
  core_.reset();
  front_tokens_.clear();
  front_requests_.clear();
  peer_exchanges_.clear();
  sent_exchanges_.clear();
}

void SimulatedDaemon::onFrontRequest(ExchangeNumber exchange, const FrontRequest& request,
                                     std::function<void(const CallAnswer&)> answered) {
  const RequestToken token = next_front_token_;
  next_front_token_ += 2;
  front_tokens_[exchange] = token;
  front_requests_[token] = {exchange, std::move(answered)};
  withCore([&](DaemonActions& actions) {
    core_->onFrontRequest(token, request, world_.now(), actions);
  });
}

void SimulatedDaemon::onFrontGone(ExchangeNumber exchange) {
  const auto found = front_tokens_.find(exchange);
  if (found == front_tokens_.end()) {
    return;
  }
  const RequestToken token = found->second;
  front_tokens_.erase(found);
  front_requests_.erase(token);
  withCore([&](DaemonActions& actions) { core_->onRequesterGone(token, world_.now(), actions); });
}

void SimulatedDaemon::onPeerRequest(ExchangeNumber exchange, SimulatedDaemon* sender,
                                    const CallRequest& request) {
  if (exchange != 0) {
    peer_exchanges_[request.id] = {exchange, sender};
  }
  withCore([&](DaemonActions& actions) { core_->onPeerRequest(request, world_.now(), actions); });
}

void SimulatedDaemon::onPeerGone(const CallId& id) {
  peer_exchanges_.erase(id);
  withCore([&](DaemonActions& actions) { core_->onPeerGone(id, world_.now(), actions); });
}

void SimulatedDaemon::perform(const DispatchToBackend& action) {
  world_.network.onNode(node_, microseconds(20), [this, action] { backend_->dispatch(action); });
}

void SimulatedDaemon::perform(const CancelBackend& action) {
  world_.network.onNode(node_, microseconds(20), [this, id = action.id] { backend_->cancel(id); });
}

void SimulatedDaemon::perform(const AnswerPeer& action) {
  // A refused copy must not take the exchange of the original, which is under way.
  const auto found = peer_exchanges_.find(action.answer.id);
  if (found == peer_exchanges_.end() || action.answer.error == ErrorKind::kDuplicateCall) {
    return;
  }
  const PeerExchange waiting = found->second;
  peer_exchanges_.erase(found);
  SimulatedDaemon* sender = waiting.sender;
  world_.network.respond(waiting.exchange, [sender, answer = action.answer] {
    sender->sent_exchanges_.erase(answer.id);
    sender->withCore([&](DaemonActions& actions) {
      sender->core_->onPeerAnswer(answer.id, answer, sender->world_.now(), actions);
    });
  });
}

void SimulatedDaemon::perform(const SendToPeer& action) {
  const auto found = directory_.daemons.find(action.peer_address);
  const CallId id = action.request.id;
  if (found == directory_.daemons.end()) {
    world_.network.onNode(node_, Duration(0), [this, id] {
      withCore(
          [&](DaemonActions& actions) { core_->onPeerFailure(id, true, world_.now(), actions); });
    });
    return;
  }
  const auto body = parseWorkBody(action.request.payload.body);
  if (body) {
    HistoryEvent event = world_.event(HistoryEventType::kAttemptSent, server_);
    event.nonce = body->nonce;
    event.key = body->key;
    event.call = body->call;
    event.parent = body->parent;
    world_.record(event);
  }
  SimulatedDaemon* peer = found->second;
  sent_exchanges_[id] = world_.network.request(
      node_, peer->node_,
      [this, peer, request = action.request](ExchangeNumber exchange) {
        peer->onPeerRequest(exchange, this, request);
      },
      [this, id](ExchangeFailure failure) {
        sent_exchanges_.erase(id);
        withCore([&](DaemonActions& actions) {
          core_->onPeerFailure(id, failure.never_sent, world_.now(), actions);
        });
      },
      [peer, id] { peer->onPeerGone(id); });
}

void SimulatedDaemon::perform(const CancelPeer& action) {
  const auto found = sent_exchanges_.find(action.id);
  if (found != sent_exchanges_.end()) {
    world_.network.close(found->second);
    sent_exchanges_.erase(found);
  }
}

void SimulatedDaemon::perform(const AnswerRequest& action) {
  const bool from_backend = action.token % 2 == 1;
  if (from_backend) {
    world_.network.onNode(node_, microseconds(20), [this, action] {
      backend_->onEgressAnswer(action.token, action.answer);
    });
    return;
  }
  const auto found = front_requests_.find(action.token);
  if (found == front_requests_.end()) {
    return;
  }
  const FrontExchange exchange = std::move(found->second);
  front_requests_.erase(found);
  front_tokens_.erase(exchange.exchange);
  world_.network.respond(exchange.exchange,
                         [exchange, answer = action.answer] { exchange.answered(answer); });
}

void SimulatedDaemon::perform(const SendToControl& action) {
  const auto found = directory_.controls.find(action.address);
  const std::uint64_t request_id = action.request_id;
  const auto deliver_reply = [this, request_id](const std::optional<ControlReply>& reply) {
    withCore([&](DaemonActions& actions) {
      core_->onControlReply(request_id, reply, world_.now(), actions);
    });
  };
  SimulatedControl* control = found->second;
  control->ask(node_, action.request, action.timeout, deliver_reply);
}

void SimulatedDaemon::perform(const SaveConfiguration& action) {
  saved_ = action.configuration;
}

}  // namespace ramppond
