#include "lab/backend_process.h"

#include <cmath>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

#include "common/logging.h"
#include "common/process.h"
#include "core/random.h"
#include "lab/history.h"
#include "lab/timer_thread.h"
#include "lab/work_body.h"
#include "net/admin_pages.h"
#include "net/call_protocol.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace ramppond {
namespace {

constexpr std::size_t kMaximumWaiting = 200;  // Beyond that the back end sheds by itself.
constexpr auto kStopPoll = std::chrono::milliseconds(5);
constexpr auto kFlushPause = std::chrono::milliseconds(100);
constexpr std::int64_t kDefaultCallTimeoutMs = 5000;
constexpr std::size_t kMaximumRequestBytes = 4 << 20;
constexpr int kBadGateway = 502;

BackendSettings settingsOf(SettingsTable& root) {
  BackendSettings settings;
  settings.server = root.requiredString("server");
  settings.service = root.requiredString("service");
  settings.deployment_path = root.requiredString("deployment");
  settings.listen = endpointSetting(root, "listen", "");
  settings.admin = endpointSetting(root, "admin_address", "");
  settings.egress = endpointSetting(root, "egress_address", "");
  settings.history = root.optionalString("history", "");
  settings.random_seed =
      static_cast<std::uint64_t>(root.optionalInteger("random_seed", 1, {0, 1LL << 60}));
  return settings;
}

}  // namespace

std::optional<BackendSettings> readBackendSettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, settingsOf);
}

// `mutex_` guards everything below it. Runs are driven by the server's, the client's and the
// timer's threads; each step takes the lock, moves one run on and hands out the next wait.
class BackendProcess::Impl {
 public:
  Impl(BackendSettings settings, Deployment deployment)
      : settings_(std::move(settings)),
        deployment_(std::move(deployment)),
        history_(settings_.history),
        random_(settings_.random_seed) {
    HttpServerOptions options;
    options.listen = settings_.listen;
    options.maximum_request_bytes = kMaximumRequestBytes;
    server_ = std::make_unique<HttpServer>(
        options, [this](HttpToken token, const HttpRequest& request) { onRequest(token, request); },
        [this](HttpToken token) { timers_.after(Duration(0), [this, token] { onGone(token); }); });
    admin_ = std::make_unique<AdminPages>(settings_.admin, "ramppond-backend " + settings_.server,
                                          [this] { return metrics(); });
    admin_->onPost("/slow", [this](const std::string& body) { return slow(body); });
    client_ = std::make_unique<HttpClient>(HttpClientOptions{});
  }
  ~Impl() { stop(); }

  std::optional<std::string> start() {
    if (spec() == nullptr) {
      return "service: expected one of the deployment's services, not " + settings_.service;
    }
    if (auto error = server_->start()) {
      return error;
    }
    return admin_->start();
  }
  void drainAndStop();

 private:
  struct Run {
    const Route* route = nullptr;
    WorkBody body;
    std::string handle;
    std::string request_id;
    std::int64_t deadline_ms = 0;
    std::size_t next_call = 0;
    std::size_t open_calls = 0;
    bool failed = false;
    std::vector<std::uint64_t> client_ids;
  };

  [[nodiscard]] const ServiceSpec* spec() const {
    return deployment_.findService(settings_.service);
  }
  void onRequest(HttpToken token, const HttpRequest& request);
  void onGone(HttpToken token);
  void begin(HttpToken token);
  void beginCalls(HttpToken token);
  void sendCall(HttpToken token, Run& run, std::size_t index);
  void onCallAnswer(HttpToken token, const std::string& call, const HttpClientResult& result);
  void finish(HttpToken token);
  void startWaiting();
  void respond(HttpToken token, HttpResponse response);
  std::string slow(const std::string& body);
  MetricsPage metrics();
  void stop() {
    if (server_ != nullptr) {
      server_->stop();
    }
    timers_.stop();
    client_.reset();
  }

  BackendSettings settings_;
  Deployment deployment_;
  HistoryFile history_;
  std::mutex mutex_;
  Random random_;
  std::map<HttpToken, Run> running_;
  std::map<HttpToken, Run> waiting_;
  double slow_factor_ = 1;
  bool draining_ = false;
  std::uint64_t ran_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  TimerThread timers_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<AdminPages> admin_;
  std::unique_ptr<HttpClient> client_;
};

void BackendProcess::Impl::respond(HttpToken token, HttpResponse response) {
  if (draining_) {
    response.headers.push_back({headers::kDraining, "1"});
  }
  server_->respond(token, std::move(response));
}

void BackendProcess::Impl::onRequest(HttpToken token, const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Run run;
  run.route = spec()->findRoute(request.path);
  const auto body = parseWorkBody(request.body);
  HttpResponse response;
  if (run.route == nullptr || !body) {
    response.status = run.route == nullptr ? 404 : 400;
    respond(token, std::move(response));
    return;
  }
  run.body = *body;
  run.handle = request.header(headers::kHandle);
  run.request_id = request.header(headers::kRequest);
  run.deadline_ms = std::atoll(request.header(headers::kDeadline).c_str());
  if (running_.size() + waiting_.size() >= spec()->slots + kMaximumWaiting) {
    shed_ += 1;
    response.status = 503;
    response.headers.push_back({headers::kOutcome, "not_run"});
    respond(token, std::move(response));
    return;
  }
  waiting_.emplace(token, std::move(run));
  startWaiting();
}

void BackendProcess::Impl::startWaiting() {
  while (running_.size() < spec()->slots && !waiting_.empty()) {
    const HttpToken token = waiting_.begin()->first;
    running_.insert(waiting_.extract(waiting_.begin()));
    begin(token);
  }
}

void BackendProcess::Impl::begin(HttpToken token) {
  const Run& run = running_.at(token);
  ran_ += 1;
  HistoryEvent event;
  event.time_us = monotonicNow().count();
  event.type = HistoryEventType::kBackendRan;
  event.who = settings_.server;
  event.nonce = run.body.nonce;
  event.key = run.body.key;
  event.work = run.body.work;
  event.kind = run.body.kind;
  event.place = settings_.service + run.route->path;
  event.call = run.body.call;
  event.parent = run.body.parent;
  history_.record(event);
  const double sigma = run.route->work_sigma;
  // The mean of a lognormal is exp(mu + sigma^2 / 2).
  const double mu = std::log(run.route->work_ms * slow_factor_) - sigma * sigma / 2;
  const auto work = Duration(static_cast<std::int64_t>(random_.lognormal(mu, sigma) * 1000));
  timers_.after(work, [this, token] { beginCalls(token); });
}

void BackendProcess::Impl::beginCalls(HttpToken token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = running_.find(token);
  if (found == running_.end()) {
    return;
  }
  Run& run = found->second;
  if (run.route->calls.empty()) {
    finish(token);
    return;
  }
  const std::size_t at_once = run.route->parallel ? run.route->calls.size() : 1;
  while (run.next_call < at_once) {
    sendCall(token, run, run.next_call++);
  }
}

void BackendProcess::Impl::sendCall(HttpToken token, Run& run, std::size_t index) {
  const RouteCall& call = run.route->calls[index];
  WorkBody body = run.body;
  body.call += "." + std::to_string(index);
  body.parent = run.handle;
  HttpClientRequest request;
  // A GET has no body, so the rig's own calls are all sent with one.
  request.method = call.repeatable ? "GET" : "POST";
  request.url = "http://" + settings_.egress.toString() + "/" + call.service + call.path;
  request.headers = {{headers::kHandle, run.handle}};
  request.body = formatWorkBody(body, 0);
  request.timeout = milliseconds(run.deadline_ms > 0 ? run.deadline_ms : kDefaultCallTimeoutMs);
  run.open_calls += 1;
  run.client_ids.push_back(client_->send(
      std::move(request), [this, token, path = body.call](const HttpClientResult& result) {
        onCallAnswer(token, path, result);
      }));
}

void BackendProcess::Impl::onCallAnswer(HttpToken token, const std::string& call,
                                        const HttpClientResult& result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = running_.find(token);
  if (found == running_.end()) {
    return;
  }
  Run& run = found->second;
  run.open_calls -= 1;
  const auto body = parseWorkBody(result.body);
  const bool good = result.complete && result.status == 200 && body &&
                    body->nonce == run.body.nonce && body->call == call;
  run.failed = run.failed || !good;
  if (!run.failed && run.next_call < run.route->calls.size()) {
    sendCall(token, run, run.next_call++);
  } else if (run.open_calls == 0) {
    finish(token);
  }
}

void BackendProcess::Impl::finish(HttpToken token) {
  const auto found = running_.find(token);
  const Run run = std::move(found->second);
  running_.erase(found);
  HttpResponse response;
  response.status = run.failed ? kBadGateway : 200;
  response.content_type = "text/plain";
  response.body =
      run.failed ? "an internal call failed\n" : formatWorkBody(run.body, run.route->answer_bytes);
  respond(token, std::move(response));
  startWaiting();
}

// The daemon closed the connection: the call is cancelled, and its calls with it.
void BackendProcess::Impl::onGone(HttpToken token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  waiting_.erase(token);
  const auto found = running_.find(token);
  if (found == running_.end()) {
    return;
  }
  cancelled_ += 1;
  for (const std::uint64_t id : found->second.client_ids) {
    client_->cancel(id);
  }
  running_.erase(found);
  startWaiting();
}

std::string BackendProcess::Impl::slow(const std::string& body) {
  const double factor = std::atof(body.c_str());
  const std::lock_guard<std::mutex> lock(mutex_);
  if (factor > 0) {
    slow_factor_ = factor;
  }
  return "factor " + std::to_string(slow_factor_) + "\n";
}

MetricsPage BackendProcess::Impl::metrics() {
  MetricsPage page;
  const std::lock_guard<std::mutex> lock(mutex_);
  page.counter("backend_ran_total", "Calls run.", ran_);
  page.counter("backend_shed_total", "Calls shed by the back end itself.", shed_);
  page.counter("backend_cancelled_total", "Calls whose daemon went away.", cancelled_);
  page.gauge("backend_running", "Slots in use.", static_cast<double>(running_.size()));
  page.gauge("backend_waiting", "Calls waiting for a slot.", static_cast<double>(waiting_.size()));
  page.addProcessMetrics();
  return page;
}

void BackendProcess::Impl::drainAndStop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    draining_ = true;
  }
  for (;;) {
    std::this_thread::sleep_for(kStopPoll);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (running_.empty() && waiting_.empty()) {
      break;
    }
  }
  std::this_thread::sleep_for(kFlushPause);
  stop();
}

BackendProcess::BackendProcess(BackendSettings settings, Deployment deployment)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(deployment))) {}
BackendProcess::~BackendProcess() = default;
std::optional<std::string> BackendProcess::start() {
  return impl_->start();
}
void BackendProcess::drainAndStop() {
  impl_->drainAndStop();
}

}  // namespace ramppond
