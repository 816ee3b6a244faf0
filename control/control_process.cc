#include "control/control_process.h"

#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "common/logging.h"
#include "common/process.h"
#include "control/control_metrics.h"
#include "control/platform_list.h"
#include "core/cbor_codec.h"
#include "core/control/control_core.h"
#include "net/admin_pages.h"
#include "net/control_protocol.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace ramppond {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kPlatformPollInterval = seconds(1);
constexpr Duration kPlatformTimeout = seconds(2);
constexpr Duration kRaftTimeout = milliseconds(400);
constexpr Duration kMemberTimeout = milliseconds(800);
constexpr std::size_t kMaximumMessageBytes = 256 << 20;
// Messages queued per member that does not answer. Raft sends dropped messages again.
constexpr std::size_t kMaximumQueuedMessages = 256;
constexpr int kServerThreads = 2;
// At most this many polls are handled between two rounds of Raft. Otherwise polls of a whole fleet
// that starts at once could delay heartbeats until the leader loses its lease.
constexpr std::size_t kPollsPerRound = 32;
// Further polls are refused at once: their daemons would time out before they are handled.
constexpr std::size_t kMaximumWaitingPolls = 4096;
// A write that takes longer is logged: the member answers nobody meanwhile.
constexpr Duration kSlowWrite = seconds(1);
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

}  // namespace

// One thread owns the core and the storage; all other threads post events to it. All events that
// arrive during a sync are handled together afterwards and share the next sync (group commit).
class ControlProcess::Impl {
 public:
  explicit Impl(ControlSettings settings)
      : settings_(std::move(settings)),
        files_(settings_.data_folder),
        storage_(files_),
        client_(HttpClientOptions{}) {}
  ~Impl() { stop(); }

  std::optional<std::string> start();
  void stop();

 private:
  using Event = std::function<void(TimePoint)>;
  struct WaitingPoll {
    HttpToken token = 0;
    ControlRequest request;
  };
  /// Raft messages for one member. One POST is in flight at a time; messages queued meanwhile are
  /// sent in one batch.
  struct MemberOutbox {
    RaftBatch waiting;
    bool busy = false;
  };

  void startServers();
  void post(Event event);
  void postPoll(HttpToken token, ControlRequest request);
  void dropPoll(HttpToken token);
  std::vector<WaitingPoll> takePolls();
  void respond(HttpToken token, const ControlReply& reply);
  void run();
  void work(TimePoint now);
  /// Makes the work durable. Returns false if a write failed.
  bool persist(const ControlWork& work);
  void executeWork(const ControlWork& work);
  void onHttp(HttpToken token, const HttpRequest& request);
  void queueRaftMessage(const RaftMessage& message);
  void flushOutbox(const std::string& address);
  void requestPlatformList();
  void sendMemberRequest(const MemberRequest& request);
  void logStateChange();
  MetricsPage metrics();
  std::uint64_t refusedPolls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_polls_;
  }

  ControlSettings settings_;
  PosixFileSystem files_;
  RaftStorage storage_;
  std::unique_ptr<ControlCore> core_;
  std::mutex
      core_mutex_;  ///< Guards `core_` and `storage_` between the loop thread and the admin page.
  std::map<std::string, MemberOutbox> outboxes_;
  TimePoint next_platform_request_{0};
  std::string logged_state_;

  std::mutex mutex_;  ///< Guards `events_`, `polls_` and `refused_polls_`.
  std::condition_variable work_available_;
  std::vector<Event> events_;
  std::map<HttpToken, ControlRequest> polls_;  ///< Waiting polls in order of arrival.
  std::uint64_t refused_polls_ = 0;
  std::atomic<bool> stopping_{false};
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<AdminPages> admin_;
  std::thread loop_;
  HttpClient client_;
};

std::optional<std::string> ControlProcess::Impl::start() {
  if (auto error = files_.prepare()) {
    return error;
  }
  logChange("opening", {{"folder", settings_.data_folder}});
  if (auto error = storage_.open(randomNumber())) {
    return settings_.data_folder + "/" + *error;
  }
  ControlOptions options;
  options.name = settings_.name;
  options.address = settings_.address.toString();
  options.snapshots.entries = settings_.entries_per_snapshot;
  options.raft.id = storage_.id();
  options.raft.election_timeout = settings_.election_timeout;
  options.raft.heartbeat_interval = settings_.heartbeat_interval;
  options.raft.random_seed = randomNumber();
  core_ = std::make_unique<ControlCore>(options, storage_.takeRecovery(), monotonicNow());
  startServers();
  if (auto error = server_->start()) {
    return error;
  }
  if (auto error = admin_->start()) {
    return error;
  }
  loop_ = std::thread([this] { run(); });
  logChange("started", {{"name", settings_.name},
                        {"address", settings_.address.toString()},
                        {"id", std::to_string(storage_.id())}});
  return std::nullopt;
}

void ControlProcess::Impl::startServers() {
  HttpServerOptions options;
  options.listen = settings_.address;
  options.threads = kServerThreads;
  options.maximum_request_bytes = kMaximumMessageBytes;
  server_ = std::make_unique<HttpServer>(
      options, [this](HttpToken token, const HttpRequest& request) { onHttp(token, request); },
      [this](HttpToken token) {
        dropPoll(token);
        post([this, token](TimePoint) { core_->onRequesterGone(token); });
      });
  admin_ = std::make_unique<AdminPages>(settings_.admin, "ramppond-control " + settings_.name,
                                        [this] { return metrics(); });
}

void ControlProcess::Impl::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  if (server_ != nullptr) {
    server_->stop();
  }
  work_available_.notify_one();
  if (loop_.joinable()) {
    loop_.join();
    logChange("stopped", {});
  }
}

void ControlProcess::Impl::post(Event event) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(event));
  }
  work_available_.notify_one();
}

void ControlProcess::Impl::postPoll(HttpToken token, ControlRequest request) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (polls_.size() < kMaximumWaitingPolls) {
      polls_.emplace(token, std::move(request));
      work_available_.notify_one();
      return;
    }
    refused_polls_ += 1;
  }
  ControlReply reply;
  reply.error = ErrorKind::kOverloaded;
  respond(token, reply);
}

// The daemon has disconnected, so nobody would read the answer.
void ControlProcess::Impl::dropPoll(HttpToken token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  polls_.erase(token);
}

std::vector<ControlProcess::Impl::WaitingPoll> ControlProcess::Impl::takePolls() {
  std::vector<WaitingPoll> taken;
  while (taken.size() < kPollsPerRound && !polls_.empty()) {
    const auto first = polls_.begin();
    taken.push_back({first->first, std::move(first->second)});
    polls_.erase(first);
  }
  return taken;
}

void ControlProcess::Impl::respond(HttpToken token, const ControlReply& reply) {
  HttpResponse response;
  response.content_type = kCborType;
  response.body = encode(reply);
  server_->respond(token, std::move(response));
}

void ControlProcess::Impl::run() {
  while (!stopping_) {
    std::vector<Event> events;
    std::vector<WaitingPoll> polls;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      work_available_.wait_for(lock, kTickInterval,
                               [this] { return !events_.empty() || !polls_.empty() || stopping_; });
      events.swap(events_);
      polls = takePolls();
    }
    const std::lock_guard<std::mutex> lock(core_mutex_);
    const TimePoint now = monotonicNow();
    for (const Event& event : events) {
      event(now);
    }
    for (const WaitingPoll& poll : polls) {
      core_->onRequest(poll.token, poll.request, now);
    }
    work(now);
  }
}

void ControlProcess::Impl::work(TimePoint now) {
  core_->tick(now, wallClockMs());
  for (;;) {
    const ControlWork work = core_->take(now);
    if (work.empty()) {
      break;
    }
    if (!persist(work)) {
      // The contents on disk are unknown now, so the member must not acknowledge anything further.
      logChange("storage_failed", {{"folder", settings_.data_folder}});
      std::_Exit(EXIT_FAILURE);
    }
    executeWork(work);
    core_->done(work, now);
  }
  logStateChange();
  if (now >= next_platform_request_ && !settings_.platform_url.empty()) {
    next_platform_request_ = now + kPlatformPollInterval;
    requestPlatformList();
  }
}

bool ControlProcess::Impl::persist(const ControlWork& work) {
  const TimePoint begun = monotonicNow();
  const bool durable =
      storage_.persist(work.raft) && (!work.snapshot || storage_.saveSnapshot(*work.snapshot));
  const Duration taken = monotonicNow() - begun;
  if (taken >= kSlowWrite) {
    logChange("storage_slow",
              {{"folder", settings_.data_folder},
               {"ms", std::to_string(taken.count() / kMicrosecondsPerMillisecond)}});
  }
  return durable;
}

void ControlProcess::Impl::executeWork(const ControlWork& work) {
  for (const RaftMessage& message : work.raft.messages) {
    queueRaftMessage(message);
  }
  for (const ControlAnswer& answer : work.answers) {
    respond(answer.token, answer.reply);
  }
  for (const MemberRequest& request : work.member_requests) {
    sendMemberRequest(request);
  }
}

void ControlProcess::Impl::queueRaftMessage(const RaftMessage& message) {
  const std::string address = core_->addressOf(message.to);
  if (address.empty()) {
    return;
  }
  MemberOutbox& outbox = outboxes_[address];
  if (outbox.waiting.messages.size() < kMaximumQueuedMessages) {
    outbox.waiting.messages.push_back(message);
  }
  flushOutbox(address);
}

void ControlProcess::Impl::flushOutbox(const std::string& address) {
  MemberOutbox& outbox = outboxes_[address];
  if (outbox.busy || outbox.waiting.messages.empty()) {
    return;
  }
  outbox.busy = true;
  outbox.waiting.sender_address = settings_.address.toString();
  HttpClientRequest request;
  request.url = "http://" + address + kRaftPath;
  request.headers = {{"Content-Type", kCborType}};
  request.body = encode(outbox.waiting);
  request.timeout = kRaftTimeout;
  outbox.waiting.messages.clear();
  client_.send(std::move(request), [this, address](const HttpClientResult&) {
    post([this, address](TimePoint) {
      outboxes_[address].busy = false;
      flushOutbox(address);
    });
  });
}

void ControlProcess::Impl::sendMemberRequest(const MemberRequest& request) {
  const std::uint64_t request_id = request.request_id;
  sendControlRequest(client_, request.address, request.request, kMemberTimeout,
                     [this, request_id](const std::optional<ControlReply>& reply) {
                       post([this, request_id, reply](TimePoint now) {
                         core_->onMemberReply(request_id, reply, now);
                       });
                     });
}

void ControlProcess::Impl::requestPlatformList() {
  HttpClientRequest request;
  request.method = "GET";
  request.url = settings_.platform_url;
  request.timeout = kPlatformTimeout;
  client_.send(std::move(request), [this](const HttpClientResult& result) {
    if (!result.complete || result.status != 200) {
      return;  // The previous list stays in use.
    }
    const auto servers = parsePlatformList(result.body);
    if (servers) {
      post([this, servers](TimePoint now) { core_->onPlatformList(*servers, now); });
    }
  });
}

void ControlProcess::Impl::onHttp(HttpToken token, const HttpRequest& request) {
  if (request.path == kRaftPath) {
    const auto batch = decode<RaftBatch>(request.body);
    if (batch) {
      post([this, batch](TimePoint now) {
        for (const RaftMessage& message : batch->messages) {
          core_->onRaftMessage(message, batch->sender_address, now);
        }
      });
    }
    HttpResponse response;
    response.status = batch ? 204 : 400;
    server_->respond(token, std::move(response));
    return;
  }
  const auto control =
      request.path == kControlPath ? decode<ControlRequest>(request.body) : std::nullopt;
  if (!control) {
    HttpResponse response;
    response.status = 400;
    response.body = "expected a control request as CBOR\n";
    server_->respond(token, std::move(response));
    return;
  }
  if (control->type == ControlRequestType::kPoll) {
    postPoll(token, *control);
    return;
  }
  post([this, token, control](TimePoint now) { core_->onRequest(token, *control, now); });
}

void ControlProcess::Impl::logStateChange() {
  const RaftNode& raft = core_->raft();
  const bool leads = raft.role() == RaftRole::kLeader;
  const std::string state = "term " + std::to_string(raft.term()) +
                            (leads ? " leader" : " follower") + " of " +
                            std::to_string(raft.leader()) + " configuration " +
                            core_->state().configuration().version.toString();
  if (state != logged_state_) {
    logChange("state", {{"role", leads ? "leader" : "follower"},
                        {"term", std::to_string(raft.term())},
                        {"leader", std::to_string(raft.leader())},
                        {"configuration", core_->state().configuration().version.toString()}});
    logged_state_ = state;
  }
}

MetricsPage ControlProcess::Impl::metrics() {
  const std::lock_guard<std::mutex> lock(core_mutex_);
  return controlMetrics(*core_, storage_, refusedPolls(), monotonicNow());
}

ControlProcess::ControlProcess(ControlSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
ControlProcess::~ControlProcess() = default;
std::optional<std::string> ControlProcess::start() {
  return impl_->start();
}
void ControlProcess::stop() {
  impl_->stop();
}

}  // namespace ramppond
