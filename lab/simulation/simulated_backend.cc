#include "lab/simulation/simulated_backend.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

constexpr std::size_t kMaximumWaiting = 200;
constexpr Duration kColdTime = seconds(2);
constexpr double kColdSlowdown = 2;
// Tokens of back ends are odd, those of callers even, as in the daemon process.
constexpr RequestToken kTokenStep = 2;

}  // namespace

SimulatedBackend::SimulatedBackend(World& world, NodeNumber node, std::string server,
                                   const ServiceSpec& spec, Hooks hooks)
    : world_(world),
      node_(node),
      server_(std::move(server)),
      spec_(spec),
      hooks_(std::move(hooks)) {}

double SimulatedBackend::coldFactor() const {
  return world_.now() - started_ < kColdTime ? kColdSlowdown : 1;
}

void SimulatedBackend::restart() {
  waiting_.clear();
  running_.clear();
  slowdown_ = 1;
  shed_share_ = 0;
  started_ = world_.now();
}

void SimulatedBackend::dispatch(const DispatchToBackend& dispatch) {
  const auto body = parseWorkBody(dispatch.payload.body);
  Run run;
  run.id = dispatch.id;
  run.route = spec_.findRoute(dispatch.payload.path);
  run.handle = dispatch.handle;
  const bool full = running_.size() + waiting_.size() >= spec_.slots + kMaximumWaiting;
  if (full || world_.random.chance(shed_share_)) {
    BackendAnswer answer;
    answer.status = 503;
    answer.refused = true;
    hooks_.answer(dispatch.id, answer);
    return;
  }
  if (!body || run.route == nullptr) {
    BackendAnswer answer;
    answer.status = 400;
    hooks_.answer(dispatch.id, answer);
    return;
  }
  run.body = *body;
  waiting_.emplace(order_++, std::move(run));
  startWaiting();
}

void SimulatedBackend::startWaiting() {
  while (running_.size() < spec_.slots && !waiting_.empty()) {
    Run run = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    begin(std::move(run));
  }
}

void SimulatedBackend::begin(Run run) {
  HistoryEvent event = world_.event(HistoryEventType::kBackendRan, server_);
  event.nonce = run.body.nonce;
  event.key = run.body.key;
  event.work = run.body.work;
  event.kind = run.body.kind;
  event.place = spec_.name + run.route->path;
  event.call = run.body.call;
  event.parent = run.body.parent;
  world_.record(event);
  const double sigma = run.route->work_sigma;
  const double mean_ms = run.route->work_ms * slowdown_ * coldFactor();
  const double mu = std::log(mean_ms * 1000) - sigma * sigma / 2;
  const auto work = Duration(static_cast<std::int64_t>(world_.random.lognormal(mu, sigma)));
  const CallId id = run.id;
  running_.emplace(id, std::move(run));
  world_.network.onNode(node_, work, [this, id] { beginCalls(id); });
}

void SimulatedBackend::beginCalls(const CallId& id) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  Run& run = found->second;
  if (run.route->calls.empty()) {
    finish(id);
    return;
  }
  const std::size_t at_once = run.route->parallel ? run.route->calls.size() : 1;
  while (run.next_call < at_once) {
    sendCall(run);
  }
}

void SimulatedBackend::sendCall(Run& run) {
  const std::size_t index = run.next_call++;
  const RouteCall& call = run.route->calls[index];
  WorkBody body = run.body;
  body.call += "." + std::to_string(index);
  body.parent = run.handle;
  EgressRequest request;
  request.handle = run.handle;
  request.service = call.service;
  request.payload.method = call.repeatable ? "GET" : "POST";
  request.payload.path = call.path;
  request.payload.body = formatWorkBody(body, 0);
  request.repeatable = call.repeatable;
  const RequestToken token = next_token_;
  next_token_ += kTokenStep;
  run.calls.emplace(token, body.call);
  run.open_calls += 1;
  world_.network.onNode(node_, microseconds(20),
                        [this, token, request] { hooks_.send_egress(token, request); });
}

void SimulatedBackend::onEgressAnswer(RequestToken token, const CallAnswer& answer) {
  const auto found = std::find_if(running_.begin(), running_.end(), [&](const auto& item) {
    return item.second.calls.count(token) != 0;
  });
  if (found == running_.end()) {
    return;
  }
  Run& run = found->second;
  const std::string call = run.calls.at(token);
  run.calls.erase(token);
  run.open_calls -= 1;
  const auto body = parseWorkBody(answer.body);
  const bool good = answer.error == ErrorKind::kNone && answer.status == 200 && body &&
                    body->nonce == run.body.nonce && body->call == call;
  run.failed = run.failed || !good;
  if (!run.failed && run.next_call < run.route->calls.size()) {
    sendCall(run);
  } else if (run.open_calls == 0) {
    finish(found->first);
  }
}

void SimulatedBackend::finish(const CallId& id) {
  const auto found = running_.find(id);
  const Run run = std::move(found->second);
  running_.erase(found);
  BackendAnswer answer;
  answer.status = run.failed ? 502 : 200;
  answer.body = run.failed ? "" : formatWorkBody(run.body, run.route->answer_bytes);
  world_.network.onNode(node_, microseconds(20),
                        [this, id = run.id, answer] { hooks_.answer(id, answer); });
  startWaiting();
}

void SimulatedBackend::cancel(const CallId& id) {
  for (auto waiting = waiting_.begin(); waiting != waiting_.end(); ++waiting) {
    if (waiting->second.id == id) {
      waiting_.erase(waiting);
      return;
    }
  }
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const Run run = std::move(found->second);
  running_.erase(found);
  for (const auto& [token, call] : run.calls) {
    hooks_.egress_gone(token);
  }
  startWaiting();
}

}  // namespace ramppond
