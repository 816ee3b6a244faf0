#include "daemon/daemon_process.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "common/logging.h"
#include "common/process.h"
#include "core/call_port/daemon_core.h"
#include "core/cbor_codec.h"
#include "daemon/daemon_metrics.h"
#include "net/admin_pages.h"
#include "net/call_protocol.h"
#include "net/control_protocol.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "storage/file_system.h"

namespace ramppond {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(5);
constexpr char kConfigurationFile[] = "configuration";
// A peer wraps a body of up to the maximum size in an envelope of at most this size.
constexpr std::size_t kEnvelopeBytes = 65536;
// After the last answer of a graceful shutdown, gives the kernel time to send it.
constexpr auto kFlushDelay = std::chrono::milliseconds(100);
constexpr int kBackendShedStatus = 503;

DaemonOptions makeCoreOptions(const DaemonSettings& settings) {
  DaemonOptions options;
  options.server = settings.server;
  options.service = settings.service;
  options.zone = settings.zone;
  options.incarnation = randomNumber();
  options.started_ms = wallClockMs();
  options.slots = settings.slots;
  options.control_addresses = settings.control;
  options.subscriptions = settings.subscriptions;
  options.policy = findOverloadPolicy(settings.policy).value_or(OverloadPolicy{});
  options.random_seed = options.incarnation;
  return options;
}

HttpServerOptions makeServerOptions(const Endpoint& listen, std::size_t body_bytes) {
  HttpServerOptions options;
  options.listen = listen;
  options.maximum_request_bytes = body_bytes + kEnvelopeBytes;
  return options;
}

}  // namespace

// `mutex_` guards the core and the maps between its ids and those of servers and clients. Actions
// are executed under it, which is short because each only adds work to a queue. Servers report
// disconnects on threads that may hold the server's lock, so these are queued under
// `disconnects_mutex_` and handled by the ticker thread, to avoid a deadlock.
class DaemonProcess::Impl {
 public:
  explicit Impl(DaemonSettings settings)
      : settings_(std::move(settings)),
        core_(makeCoreOptions(settings_)),
        peers_(HttpClientOptions{}),
        backend_(HttpClientOptions{settings_.backend_connections, milliseconds(500)}),
        control_(HttpClientOptions{}) {
    makeServers();
  }

  ~Impl() { stop(); }

  std::optional<std::string> start();
  void drainAndStop();
  void stop();

 private:
  enum class DisconnectSource { kFront, kEgress, kPeer };
  struct Disconnect {
    DisconnectSource kind;
    HttpToken token;
  };

  void makeServers();
  void onFront(HttpToken token, const HttpRequest& request);
  void onEgress(HttpToken token, const HttpRequest& request);
  void onPeer(HttpToken token, const HttpRequest& request);
  void onDisconnect(DisconnectSource kind, HttpToken token);
  void handleDisconnects(DaemonActions& actions, TimePoint now);
  void tickLoop();
  MetricsPage metrics();

  // Runs `event` on the core and executes the resulting actions.
  template <class Event>
  void withCore(Event event) {
    const std::lock_guard<std::mutex> lock(mutex_);
    DaemonActions actions;
    event(actions, monotonicNow());
    for (DaemonAction& action : actions) {
      std::visit([this](auto& typed) { perform(typed); }, action);
    }
  }
  void perform(DispatchToBackend& action);
  void perform(CancelBackend& action);
  void perform(AnswerPeer& action);
  void perform(SendToPeer& action);
  void perform(CancelPeer& action);
  void perform(AnswerRequest& action);
  void perform(SendToControl& action);
  void perform(SaveConfiguration& action);
  named_limit parseBackendLimit(const HttpClientResult& result);
  void onBackendResult(const CallId& id, const HttpClientResult& result);
  void onPeerResult(const CallId& id, const HttpClientResult& result);
  void loadSavedConfiguration();

  // Request tokens of the core: the low bit distinguishes front (0) from egress (1) requests.
  static RequestToken frontToken(HttpToken token) { return token * 2; }
  static RequestToken egressToken(HttpToken token) { return token * 2 + 1; }

  DaemonSettings settings_;
  std::mutex mutex_;
  DaemonCore core_;
  std::unordered_map<CallId, HttpToken, CallIdHash> peer_tokens_;
  std::unordered_map<HttpToken, CallId> peer_calls_;
  std::unordered_map<CallId, std::uint64_t, CallIdHash> backend_requests_;
  std::string limit_parse_error_;  ///< Of the last answer of the back end; empty if it was valid.
  std::unordered_map<CallId, std::uint64_t, CallIdHash> peer_requests_;
  std::mutex disconnects_mutex_;
  std::vector<Disconnect> disconnects_;
  std::unique_ptr<PosixFileSystem> files_;
  std::unique_ptr<HttpServer> front_server_;
  std::unique_ptr<HttpServer> egress_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<AdminPages> admin_;
  std::atomic<bool> stopping_{false};
  std::thread ticker_;
  HttpClient peers_;
  HttpClient backend_;
  HttpClient control_;
};

void DaemonProcess::Impl::makeServers() {
  const std::size_t body = settings_.maximum_body_bytes;
  front_server_ = std::make_unique<HttpServer>(
      makeServerOptions(settings_.front, body),
      [this](HttpToken token, const HttpRequest& request) { onFront(token, request); },
      [this](HttpToken token) { onDisconnect(DisconnectSource::kFront, token); });
  egress_server_ = std::make_unique<HttpServer>(
      makeServerOptions(settings_.egress, body),
      [this](HttpToken token, const HttpRequest& request) { onEgress(token, request); },
      [this](HttpToken token) { onDisconnect(DisconnectSource::kEgress, token); });
  peer_server_ = std::make_unique<HttpServer>(
      makeServerOptions(settings_.peer, body + kEnvelopeBytes),
      [this](HttpToken token, const HttpRequest& request) { onPeer(token, request); },
      [this](HttpToken token) { onDisconnect(DisconnectSource::kPeer, token); });
  admin_ = std::make_unique<AdminPages>(settings_.admin, "ramppond-daemon " + settings_.server,
                                        [this] { return metrics(); });
  admin_->onPost("/drain", [this](const std::string&) {
    withCore([this](DaemonActions&, TimePoint now) { core_.startDrain(now); });
    logChange("draining", {{"cause", "admin port"}});
    return std::string("draining\n");
  });
}

std::optional<std::string> DaemonProcess::Impl::start() {
  if (!settings_.data_folder.empty()) {
    files_ = std::make_unique<PosixFileSystem>(settings_.data_folder);
    if (auto error = files_->prepare()) {
      return error;
    }
    loadSavedConfiguration();
  }
  for (HttpServer* server : {front_server_.get(), egress_server_.get(), peer_server_.get()}) {
    if (auto error = server->start()) {
      return error;
    }
  }
  if (auto error = admin_->start()) {
    return error;
  }
  ticker_ = std::thread([this] { tickLoop(); });
  logChange("started", {{"server", settings_.server},
                        {"service", settings_.service},
                        {"front", settings_.front.toString()},
                        {"incarnation", std::to_string(core_.options().incarnation)}});
  return std::nullopt;
}

void DaemonProcess::Impl::loadSavedConfiguration() {
  const auto bytes = files_->read(kConfigurationFile);
  const auto saved = bytes ? decode<Configuration>(*bytes) : std::nullopt;
  if (saved) {
    core_.offerSavedConfiguration(*saved);
  }
}

void DaemonProcess::Impl::drainAndStop() {
  withCore([this](DaemonActions&, TimePoint now) { core_.startDrain(now); });
  logChange("draining", {{"cause", "signal"}});
  for (;;) {
    std::this_thread::sleep_for(kTickInterval);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (core_.drained(monotonicNow())) {
      break;
    }
  }
  std::this_thread::sleep_for(kFlushDelay);
  stop();
  logChange("stopped", {});
}

void DaemonProcess::Impl::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  if (ticker_.joinable()) {
    ticker_.join();
  }
  front_server_->stop();
  egress_server_->stop();
  peer_server_->stop();
}

void DaemonProcess::Impl::tickLoop() {
  bool was_ready = false;
  std::string version;
  while (!stopping_) {
    std::this_thread::sleep_for(kTickInterval);
    withCore([&](DaemonActions& actions, TimePoint now) {
      handleDisconnects(actions, now);
      core_.tick(now, actions);
      const ControlSession& session = core_.session();
      const std::string current = session.configuration().version.toString();
      if (session.ready() && (!was_ready || current != version)) {
        logChange("configuration_in_force",
                  {{"version", current}, {"stale", session.stale() ? "true" : "false"}});
        was_ready = true;
        version = current;
      }
    });
  }
}

void DaemonProcess::Impl::onDisconnect(DisconnectSource kind, HttpToken token) {
  const std::lock_guard<std::mutex> lock(disconnects_mutex_);
  disconnects_.push_back({kind, token});
}

void DaemonProcess::Impl::handleDisconnects(DaemonActions& actions, TimePoint now) {
  std::vector<Disconnect> disconnects;
  {
    const std::lock_guard<std::mutex> lock(disconnects_mutex_);
    disconnects.swap(disconnects_);
  }
  for (const Disconnect& event : disconnects) {
    if (event.kind == DisconnectSource::kFront) {
      core_.onRequesterGone(frontToken(event.token), now, actions);
    } else if (event.kind == DisconnectSource::kEgress) {
      core_.onRequesterGone(egressToken(event.token), now, actions);
    } else {
      const auto call = peer_calls_.find(event.token);
      if (call != peer_calls_.end()) {
        const CallId id = call->second;
        peer_calls_.erase(call);
        peer_tokens_.erase(id);
        core_.onPeerGone(id, now, actions);
      }
    }
  }
}

void DaemonProcess::Impl::onFront(HttpToken token, const HttpRequest& request) {
  RequestRejection rejection;
  const auto front = parseFrontRequest(request, rejection);
  if (!front) {
    front_server_->respond(token, responseOf(rejection));
    return;
  }
  withCore([&](DaemonActions& actions, TimePoint now) {
    core_.onFrontRequest(frontToken(token), *front, now, actions);
  });
}

void DaemonProcess::Impl::onEgress(HttpToken token, const HttpRequest& request) {
  RequestRejection rejection;
  const auto egress = parseEgressRequest(request, rejection);
  if (!egress) {
    egress_server_->respond(token, responseOf(rejection));
    return;
  }
  withCore([&](DaemonActions& actions, TimePoint now) {
    core_.onEgressRequest(egressToken(token), *egress, now, actions);
  });
}

void DaemonProcess::Impl::onPeer(HttpToken token, const HttpRequest& request) {
  const auto call =
      request.path == kPeerCallPath ? decode<CallRequest>(request.body) : std::nullopt;
  if (!call) {
    HttpResponse response;
    response.status = 400;
    response.body = "expected a call as CBOR\n";
    peer_server_->respond(token, std::move(response));
    return;
  }
  withCore([&](DaemonActions& actions, TimePoint now) {
    if (!peer_tokens_.emplace(call->id, token).second) {
      // Duplicate of a call in flight: the answer goes to the connection of the first one.
      HttpResponse response;
      response.content_type = kCborType;
      response.body = encode(errorCallAnswer(call->id, ErrorKind::kDuplicateCall));
      peer_server_->respond(token, std::move(response));
      return;
    }
    peer_calls_[token] = call->id;
    core_.onPeerRequest(*call, now, actions);
  });
}

void DaemonProcess::Impl::perform(DispatchToBackend& action) {
  HttpClientRequest request;
  request.method = action.payload.method;
  request.url = "http://" + settings_.backend.toString() + action.payload.path;
  request.headers = {{headers::kHandle, action.handle},
                     {headers::kRequest, action.request_id},
                     {headers::kDeadline, std::to_string(action.time_left.count() / 1000)}};
  if (!action.payload.content_type.empty()) {
    request.headers.push_back({"Content-Type", action.payload.content_type});
  }
  request.body = std::move(action.payload.body);
  request.timeout = kMaximumDeadline * 2;  // The core enforces the deadline.
  request.fresh_connection = !action.repeatable;
  const CallId id = action.id;
  backend_requests_[id] =
      backend_.send(std::move(request),
                    [this, id](const HttpClientResult& result) { onBackendResult(id, result); });
}

named_limit DaemonProcess::Impl::parseBackendLimit(const HttpClientResult& result) {
  const std::string value = result.header(headers::kLimit);
  const std::vector<std::string> values(value.empty() ? 0 : 1, value);
  named_limit named = parse_limit(headers::kLimit, values);
  const auto* unreadable = std::get_if<unreadable_limit>(&named);
  const std::string reason = unreadable == nullptr ? std::string() : unreadable->reason;
  if (!reason.empty() && reason != limit_parse_error_) {
    logChange("backend_limit_unreadable", {{"reason", reason}});
  }
  limit_parse_error_ = reason;
  return named;
}

void DaemonProcess::Impl::onBackendResult(const CallId& id, const HttpClientResult& result) {
  withCore([&](DaemonActions& actions, TimePoint now) {
    backend_requests_.erase(id);
    if (!result.complete) {
      core_.onBackendFailure(id, result.never_sent, now, actions);
      return;
    }
    BackendAnswer answer;
    answer.status = static_cast<std::uint32_t>(result.status);
    answer.content_type = result.header("Content-Type");
    answer.body = result.body;
    answer.draining = !result.header(headers::kDraining).empty();
    answer.limit = parseBackendLimit(result);
    // A back end that sheds load answers with this status and sets the outcome field.
    answer.refused = result.status == kBackendShedStatus &&
                     result.header(headers::kOutcome) == outcomeName(Outcome::kNotRun);
    const std::optional<request_rate> before = core_.inbound().rateLimit();
    core_.onBackendAnswer(id, answer, now, actions);
    const std::optional<request_rate> limit = core_.inbound().rateLimit();
    if (!(limit == before)) {
      logChange("backend_limit", {{"before", text_of(before)}, {"now", text_of(limit)}});
    }
  });
}

void DaemonProcess::Impl::perform(CancelBackend& action) {
  const auto found = backend_requests_.find(action.id);
  if (found != backend_requests_.end()) {
    backend_.cancel(found->second);
    backend_requests_.erase(found);
  }
}

void DaemonProcess::Impl::perform(AnswerPeer& action) {
  const auto found = peer_tokens_.find(action.answer.id);
  if (found == peer_tokens_.end()) {
    return;
  }
  const HttpToken token = found->second;
  peer_tokens_.erase(found);
  peer_calls_.erase(token);
  HttpResponse response;
  response.content_type = kCborType;
  response.body = encode(action.answer);
  peer_server_->respond(token, std::move(response));
}

void DaemonProcess::Impl::perform(SendToPeer& action) {
  HttpClientRequest request;
  request.url = "http://" + action.peer_address + kPeerCallPath;
  request.headers = {{"Content-Type", kCborType}};
  request.timeout = action.request.context.time_left + seconds(1);
  request.body = encode(action.request);
  const CallId id = action.request.id;
  peer_requests_[id] = peers_.send(
      std::move(request), [this, id](const HttpClientResult& result) { onPeerResult(id, result); });
}

void DaemonProcess::Impl::onPeerResult(const CallId& id, const HttpClientResult& result) {
  std::optional<CallAnswer> answer;
  if (result.complete && result.status == 200) {
    answer = decode<CallAnswer>(result.body);
  }
  withCore([&](DaemonActions& actions, TimePoint now) {
    peer_requests_.erase(id);
    if (answer) {
      core_.onPeerAnswer(id, *answer, now, actions);
    } else {
      core_.onPeerFailure(id, result.never_sent, now, actions);
    }
  });
}

void DaemonProcess::Impl::perform(CancelPeer& action) {
  const auto found = peer_requests_.find(action.id);
  if (found != peer_requests_.end()) {
    peers_.cancel(found->second);
    peer_requests_.erase(found);
  }
}

void DaemonProcess::Impl::perform(AnswerRequest& action) {
  HttpServer& server = action.token % 2 == 0 ? *front_server_ : *egress_server_;
  HttpResponse response = responseOf(action.answer);
  // While draining, callers reconnect to other servers before this one closes its port.
  response.close_connection = core_.inbound().draining();
  server.respond(action.token / 2, std::move(response));
}

void DaemonProcess::Impl::perform(SendToControl& action) {
  const std::uint64_t request_id = action.request_id;
  sendControlRequest(control_, action.address, action.request, action.timeout,
                     [this, request_id](const std::optional<ControlReply>& reply) {
                       withCore([&](DaemonActions& actions, TimePoint now) {
                         core_.onControlReply(request_id, reply, now, actions);
                       });
                     });
}

void DaemonProcess::Impl::perform(SaveConfiguration& action) {
  if (files_ != nullptr &&
      !replaceFile(*files_, kConfigurationFile, encode(action.configuration))) {
    logChange("configuration_not_saved", {{"folder", settings_.data_folder}});
  }
}

MetricsPage DaemonProcess::Impl::metrics() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return daemonMetrics(core_);
}

DaemonProcess::DaemonProcess(DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
DaemonProcess::~DaemonProcess() = default;
std::optional<std::string> DaemonProcess::start() {
  return impl_->start();
}
void DaemonProcess::drainAndStop() {
  impl_->drainAndStop();
}

}  // namespace ramppond
