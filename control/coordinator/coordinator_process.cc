#include "control/coordinator/coordinator_process.h"

#include <csignal>

#include "common/event_log.h"
#include "core/cbor_codec.h"
#include "core/consensus/initial_membership.h"
#include "core/consensus/raft_messages.h"

namespace ramppond {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kJoinInterval = milliseconds(200);
constexpr Duration kJoinTimeout = milliseconds(600);
constexpr Duration kMemberTimeout = milliseconds(800);
constexpr Duration kSettingsCheckInterval = seconds(1);
// Members exchange messages many times a second, so a connection that is idle for this long belongs
// to a member that has left.
constexpr Duration kMemberIdleTimeout = seconds(5);
constexpr Duration kStopDelay = milliseconds(300);
// Reopening reads all files, which costs about as much as a start.
constexpr Duration kReopenInterval = milliseconds(500);
// A sync usually takes milliseconds but may take many times as long; that must not cause an
// election.
constexpr Duration kElectionTimeout = milliseconds(500);
// Shorter than kElectionTimeout: after an outage of the whole system nothing is served until there
// is a leader.
constexpr Duration kInitialElectionTimeout = milliseconds(80);
constexpr Duration kHeartbeatInterval = milliseconds(100);
constexpr Duration kRegistryPullInterval = milliseconds(150);
// Keeps the log small compared to the disks of control machines.
constexpr LogIndex kEntriesPerSnapshot = 400;
// Size of the log in multiples of the snapshot size at which the next snapshot is taken. Most
// entries contain a whole configuration, so a start applies about this many entries, at 1.5 ms of
// CPU time each for 330 routes. A lower value would cost more in syncs than it saves.
constexpr std::uint64_t kLogPerSnapshot = 8;
constexpr std::uint32_t kMaximumHeaderBytes = 65536;

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

HttpServerOptions operatorServerOptions() {
  HttpServerOptions options;
  options.max_header_bytes = kMaximumHeaderBytes;
  return options;
}

}  // namespace

CoordinatorProcess::CoordinatorProcess(const ExternalApi& api, const OperatingBounds& bounds,
                                       CoordinatorSettings settings, std::string settings_path)
    : api_(api),
      bounds_(bounds),
      settings_(std::move(settings)),
      settings_watch_(std::move(settings_path)),
      files_(settings_.data_folder),
      channels_(loop_),
      frames_(
          loop_, settings_.member_address,
          [this](FrameToken token, const Frame& frame) { onFrame(token, frame); },
          [this](FrameToken token) {
            if (core_ != nullptr) {
              core_->onRequesterGone(token);
            }
          }),
      operators_(
          loop_, settings_.operator_address, operatorServerOptions(),
          [this](const std::shared_ptr<ServerExchange>& exchange) { serveOperator(exchange); }),
      signals_(loop_.context(), SIGTERM, SIGINT, SIGHUP),
      tick_timer_(loop_),
      stop_timer_(loop_),
      next_operator_token_(kFirstOperatorToken) {}

std::optional<std::string> CoordinatorProcess::openStorage() {
  const NodeId fresh =
      settings_.first_start ? initialNodeId(settings_.member_address.toString()) : randomNumber64();
  storage_ = std::make_unique<RaftStorage>(files_);
  const auto error = storage_->open(fresh);
  if (error && !storage_->canRetryOpen()) {
    return settings_.data_folder + "/" + *error;
  }
  if (error) {
    onStorageUnwritable(*error);
    return std::nullopt;
  }
  startCore();
  return std::nullopt;
}

void CoordinatorProcess::onStorageUnwritable(const std::string& reason) {
  const TimePoint now = EventLoop::now();
  next_open_attempt_ = now + kReopenInterval;
  core_.reset();
  if (storage_unwritable_since_) {
    return;
  }
  storage_unwritable_since_ = now;
  logEvent(now.count(), "storage_refused", {{"folder", settings_.data_folder}, {"reason", reason}});
  frames_.dropConnections();
  const auto calls = std::exchange(operator_calls_, {});
  for (const auto& [token, exchange] : calls) {
    rejectOperatorCall(exchange);
  }
}

void CoordinatorProcess::startCore() {
  ControlOptions options;
  options.name = settings_.name;
  options.address = settings_.member_address.toString();
  options.zone = settings_.zone;
  options.snapshots = {kEntriesPerSnapshot, kLogPerSnapshot};
  options.session_pull_interval = kRegistryPullInterval;
  options.registry_epoch = randomNumber64();
  options.quota = bounds_.quota;
  options.raft.id = storage_->id();
  options.raft.election_timeout = kElectionTimeout;
  options.raft.initial_election_timeout = kInitialElectionTimeout;
  options.raft.heartbeat_interval = kHeartbeatInterval;
  options.raft.random_seed = randomNumber64();
  const TimePoint now = EventLoop::now();
  core_ = std::make_unique<ControlCore>(options, storage_->takeRecovery(), now);
  core_generation_ += 1;
  bootstrapIfFirst();
  const auto unwritable_since = std::exchange(storage_unwritable_since_, std::nullopt);
  if (unwritable_since) {
    logEvent(now.count(), "storage_back",
             {{"after_us", std::to_string((now - *unwritable_since).count())}});
  }
}

std::optional<std::string> CoordinatorProcess::start() {
  // Makes a write beyond the file size limit fail like any other write, instead of ending the
  // process.
  std::signal(SIGXFSZ, SIG_IGN);
  logEvent(EventLoop::now().count(), "opening", {{"folder", settings_.data_folder}});
  if (auto error = files_.prepare()) {
    return error;
  }
  if (auto error = openStorage()) {
    return error;
  }
  if (auto error = frames_.start()) {
    return error;
  }
  if (auto error = operators_.start()) {
    return error;
  }
  waitForSignal();
  tick();
  logEvent(EventLoop::now().count(), "started",
           {{"name", settings_.name}, {"id", std::to_string(storage_->id())}});
  return std::nullopt;
}

void CoordinatorProcess::bootstrapIfFirst() {
  if (!settings_.first_start) {
    return;
  }
  const Membership members =
      initialMembership(addressesAtPort(settings_.seeds, settings_.member_address.port));
  if (core_->bootstrapGroup(initialGroupId(members), members, EventLoop::now())) {
    logEvent(EventLoop::now().count(), "bootstrapped",
             {{"members", std::to_string(members.members.size())}});
  }
}

void CoordinatorProcess::onFrame(FrameToken token, const Frame& frame) {
  const TimePoint now = EventLoop::now();
  if (core_ == nullptr) {
    rejectFrame(token);
    return;
  }
  if (frame.kind == FrameKind::kRaftMessages) {
    const auto batch = decode<RaftBatch>(frame.body);
    if (batch) {
      channels_.onPeerHeard(batch->sender_address);
      for (const RaftMessage& message : batch->messages) {
        core_->onRaftMessage(message, batch->sender_address, now);
      }
    }
  } else if (frame.kind == FrameKind::kControlRequest) {
    const auto request = decode<ControlRequest>(frame.body);
    if (request) {
      core_->onRequest(token, *request, now);
    }
  }
  scheduleWork();
}

// Answers at once, so that the sender asks another member without waiting for a timeout.
void CoordinatorProcess::rejectFrame(FrameToken token) {
  ControlReply reply;
  reply.error = ErrorKind::kNoQuorum;
  reply.reason = "this member's storage takes no writes";
  frames_.answer(token, FrameKind::kControlReply, encode(reply));
}

// All work that arrives within one iteration of the loop shares a sync.
void CoordinatorProcess::scheduleWork() {
  if (work_scheduled_) {
    return;
  }
  work_scheduled_ = true;
  loop_.post([this] {
    work_scheduled_ = false;
    work();
  });
}

bool CoordinatorProcess::persist(const ControlWork& work) {
  return storage_->persist(work.raft) && (!work.snapshot || storage_->saveSnapshot(*work.snapshot));
}

void CoordinatorProcess::work() {
  if (core_ == nullptr) {
    return;
  }
  const TimePoint now = EventLoop::now();
  core_->tick(now, wallClockMs());
  for (;;) {
    const ControlWork work = core_->take(now);
    if (work.empty()) {
      break;
    }
    if (!persist(work)) {
      onStorageUnwritable("write failed");
      return;
    }
    executeWork(work);
    core_->done(work, now);
  }
  logStateChange();
  logReplacements();
}

void CoordinatorProcess::executeWork(const ControlWork& work) {
  sendRaftMessages(work.raft.messages);
  for (const ControlAnswer& answer : work.answers) {
    if (answer.token >= kFirstOperatorToken) {
      onOperatorReply(answer.token, answer.reply);
    } else {
      frames_.answer(answer.token, FrameKind::kControlReply, encode(answer.reply));
    }
  }
  for (const MemberRequest& request : work.member_requests) {
    const std::uint64_t request_id = request.request_id;
    const std::uint64_t core_generation = core_generation_;
    channels_.request(
        request.address, request.request, kMemberTimeout,
        [this, request_id, core_generation](const std::optional<ControlReply>& reply) {
          if (core_ != nullptr && core_generation == core_generation_) {
            core_->onMemberReply(request_id, reply, EventLoop::now());
            scheduleWork();
          }
        });
  }
}

void CoordinatorProcess::sendRaftMessages(const std::vector<RaftMessage>& messages) {
  std::map<std::string, RaftBatch> batches;
  for (const RaftMessage& message : messages) {
    const std::string address = core_->addressOf(message.to);
    if (!address.empty()) {
      batches[address].messages.push_back(message);
    }
  }
  for (auto& [address, batch] : batches) {
    batch.sender_address = settings_.member_address.toString();
    channels_.post(address, FrameKind::kRaftMessages, encode(batch));
  }
}

// Requests to join if this member hears from no leader or is not in the membership: it may have
// been replaced in the meantime.
void CoordinatorProcess::joinIfNotMember() {
  if (core_ == nullptr) {
    return;
  }
  const TimePoint now = EventLoop::now();
  const RaftNode& raft = core_->raft();
  const bool is_member = core_->authoritative(now) && raft.membership().find(raft.id()) != nullptr;
  if (is_member || now < next_join_) {
    return;
  }
  next_join_ = now + kJoinInterval;
  std::vector<std::string> targets =
      addressesAtPort(settings_.seeds, settings_.member_address.port);
  for (const Member& member : raft.membership().members) {
    targets.push_back(member.address);
  }
  ControlRequest request;
  request.type = ControlRequestType::kJoin;
  request.member = {raft.id(), settings_.name, settings_.member_address.toString(), false};
  for (const std::string& target : targets) {
    if (target != settings_.member_address.toString()) {
      askToJoin(target, request, true);
    }
  }
}

void CoordinatorProcess::askToJoin(const std::string& target, const ControlRequest& request,
                                   bool follow_leader) {
  channels_.request(
      target, request, kJoinTimeout,
      [this, target, request, follow_leader](const std::optional<ControlReply>& reply) {
        const bool redirected = reply && reply->error == ErrorKind::kNotLeader &&
                                !reply->leader_address.empty() && reply->leader_address != target;
        if (redirected && follow_leader) {
          askToJoin(reply->leader_address, request, false);
        }
      });
}

void CoordinatorProcess::reopenStorage() {
  if (core_ != nullptr || EventLoop::now() < next_open_attempt_) {
    return;
  }
  if (const auto error = openStorage()) {
    logEvent(EventLoop::now().count(), "storage_damaged", {{"reason", *error}});
    std::_Exit(EXIT_FAILURE);
  }
}

void CoordinatorProcess::tick() {
  reopenStorage();
  work();
  joinIfNotMember();
  const TimePoint now = EventLoop::now();
  if (now >= next_settings_check_) {
    next_settings_check_ = now + kSettingsCheckInterval;
    rereadSettings();
    channels_.closeUnusedSince(now - kMemberIdleTimeout);
  }
  tick_timer_.after(kTickInterval, [this] { tick(); });
}

void CoordinatorProcess::waitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (!error) {
      onSignal(signal);
      waitForSignal();
    }
  });
}

void CoordinatorProcess::onSignal(int signal) {
  if (signal == SIGHUP) {
    rereadSettings();
    return;
  }
  operators_.drain();
  stop_timer_.after(kStopDelay, [this] {
    logEvent(EventLoop::now().count(), "stopped");
    loop_.stop();
  });
}

// Also called periodically, because the file may change without a signal. Only the seeds can change
// while the process runs.
void CoordinatorProcess::rereadSettings() {
  if (!settings_watch_.changed()) {
    return;
  }
  std::string error;
  const auto settings = readCoordinatorSettings(settings_watch_.path(), error);
  const std::int64_t now = EventLoop::now().count();
  if (!settings) {
    logEvent(now, "settings_refused", {{"error", error}});
    return;
  }
  settings_.seeds = settings->seeds;
  logEvent(now, "settings_taken");
}

void CoordinatorProcess::logReplacements() {
  const std::int64_t now = EventLoop::now().count();
  for (const RecordReplacement& replaced : core_->takeReplacements()) {
    if (!replacement_log_.allow(now)) {
      continue;
    }
    logEvent(now, replacement_log_.event(),
             {{"proxy", replaced.now.proxy_address},
              {"process_before", std::to_string(replaced.before.proxy_incarnation)},
              {"instance_before", replaced.before.server_incarnation},
              {"state_before", nameOf(replaced.before.state)},
              {"process", std::to_string(replaced.now.proxy_incarnation)},
              {"instance", replaced.now.server_incarnation},
              {"state", nameOf(replaced.now.state)}});
  }
}

void CoordinatorProcess::logStateChange() {
  const RaftNode& raft = core_->raft();
  const bool leads = raft.role() == RaftRole::kLeader;
  std::string state = (leads ? "leader" : "follower") + std::string(" term ") +
                      std::to_string(raft.term()) + " leader " + std::to_string(raft.leader()) +
                      " configuration " +
                      std::to_string(core_->state().traffic().configuration().number) +
                      " members " + std::to_string(raft.membership().members.size()) + " voters " +
                      std::to_string(raft.membership().voterCount());
  if (state != logged_state_) {
    logEvent(EventLoop::now().count(), "state", {{"is", state}});
    logged_state_ = std::move(state);
  }
}

}  // namespace ramppond
