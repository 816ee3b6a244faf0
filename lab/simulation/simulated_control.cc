#include "lab/simulation/simulated_control.h"

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kMemberTimeout = milliseconds(800);

}  // namespace

SimulatedControl::SimulatedControl(World& world, Directory& directory, std::string name,
                                   const std::string& zone, SimulatedControlOptions options)
    : world_(world),
      directory_(directory),
      name_(std::move(name)),
      node_(world.network.addNode(zone, false)),
      options_(options),
      files_(world.random.next()) {
  directory_.controls[address()] = this;
}

bool SimulatedControl::start() {
  storage_ = std::make_unique<RaftStorage>(files_);
  if (storage_->open(world_.random.next() | 1U)) {
    return false;
  }
  ControlOptions options;
  options.name = name_;
  options.address = address();
  options.snapshots.entries = options_.entries_per_snapshot;
  options.raft.id = storage_->id();
  options.raft.random_seed = world_.random.next();
  core_ = std::make_unique<ControlCore>(options, storage_->takeRecovery(), world_.now());
  starts_ += 1;
  working_ = false;
  scheduleTick();
  return true;
}

void SimulatedControl::kill() {
  if (core_ == nullptr) {
    return;
  }
  world_.network.kill(node_);
  core_.reset();
  storage_.reset();
  waiting_.clear();
  files_.crash();
}

bool SimulatedControl::restart(bool wipe) {
  if (core_ != nullptr) {
    return true;
  }
  if (wipe) {
    files_.wipe();
  }
  world_.network.revive(node_);
  return start();
}

void SimulatedControl::scheduleTick() {
  world_.network.onNode(node_, kTickInterval, [this, start = starts_] {
    if (core_ == nullptr || start != starts_) {
      return;
    }
    wake();
    scheduleTick();
  });
}

// Events that arrive while a round of writes is being synced wait for the next round.
void SimulatedControl::wake() {
  if (working_) {
    woken_ = true;
    return;
  }
  core_->tick(world_.now(), world_.now().count() / 1000);
  work();
}

void SimulatedControl::work() {
  const auto work = std::make_shared<ControlWork>(core_->take(world_.now()));
  if (work->empty()) {
    working_ = false;
    return;
  }
  const bool writes = work->raft.hard_state || work->raft.install_snapshot ||
                      work->raft.truncate_from || !work->raft.append.empty() || work->snapshot;
  const bool durable =
      storage_->persist(work->raft) && (!work->snapshot || storage_->saveSnapshot(*work->snapshot));
  if (!durable) {
    kill();  // Lost power in the middle of a write.
    return;
  }
  working_ = true;
  world_.network.onNode(node_, writes ? options_.sync_time : Duration(0),
                        [this, work, start = starts_] {
                          if (core_ == nullptr || start != starts_) {
                            return;
                          }
                          carryOut(*work);
                          core_->done(*work, world_.now());
                          working_ = false;
                          if (std::exchange(woken_, false)) {
                            core_->tick(world_.now(), world_.now().count() / 1000);
                          }
                          this->work();
                        });
}

void SimulatedControl::carryOut(const ControlWork& work) {
  for (const RaftMessage& message : work.raft.messages) {
    sendRaft(message);
  }
  for (const ControlAnswer& item : work.answers) {
    answer(item.token, item.reply);
  }
  for (const MemberRequest& request : work.member_requests) {
    sendMemberRequest(request);
  }
}

void SimulatedControl::sendRaft(const RaftMessage& message) {
  const auto found = directory_.controls.find(core_->addressOf(message.to));
  if (found == directory_.controls.end()) {
    return;
  }
  SimulatedControl* target = found->second;
  // Through the codec, as on the wire.
  const std::string bytes = encode(message);
  world_.network.request(
      node_, target->node_,
      [target, bytes, sender = address(), this](ExchangeNumber exchange) {
        const auto received = decode<RaftMessage>(bytes);
        if (target->core_ != nullptr && received) {
          target->core_->onRaftMessage(*received, sender, world_.now());
          target->wake();
        }
        world_.network.respond(exchange, [] {});
      },
      [](ExchangeFailure) {}, [] {});
}

void SimulatedControl::sendMemberRequest(const MemberRequest& request) {
  const auto found = directory_.controls.find(request.address);
  if (found == directory_.controls.end()) {
    return;
  }
  const std::uint64_t request_id = request.request_id;
  found->second->ask(node_, request.request, kMemberTimeout,
                     [this, request_id, start = starts_](const std::optional<ControlReply>& reply) {
                       if (core_ != nullptr && start == starts_) {
                         core_->onMemberReply(request_id, reply, world_.now());
                       }
                     });
}

void SimulatedControl::ask(NodeNumber requester, const ControlRequest& request, Duration timeout,
                           const Reply& reply) {
  const auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, reply](const std::optional<ControlReply>& result) {
    if (!std::exchange(*ended, true)) {
      reply(result);
    }
  };
  const ExchangeNumber exchange = world_.network.request(
      requester, node_,
      [this, request, finish](ExchangeNumber number) {
        if (core_ == nullptr) {
          return;
        }
        const ControlToken token = next_token_++;
        waiting_[token] = {number, finish};
        core_->onRequest(token, request, world_.now());
        wake();
      },
      [finish](ExchangeFailure) { finish(std::nullopt); }, [] {});
  world_.network.onNode(requester, timeout, [this, exchange, ended, finish] {
    if (!*ended) {
      world_.network.close(exchange);
      finish(std::nullopt);
    }
  });
}

void SimulatedControl::answer(ControlToken token, const ControlReply& reply) {
  const auto found = waiting_.find(token);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  const std::string bytes = encode(reply);
  world_.network.respond(waiting.exchange,
                         [waiting, bytes] { waiting.reply(decode<ControlReply>(bytes)); });
}

void SimulatedControl::onPlatformList(const std::vector<ServerInfo>& servers) {
  if (core_ != nullptr && !world_.network.frozen(node_)) {
    core_->onPlatformList(servers, world_.now());
  }
}

}  // namespace ramppond
