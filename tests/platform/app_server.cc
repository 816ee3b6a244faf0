#include "tests/platform/app_server.h"

#include <utility>

#include "tests/platform/client_request.h"

namespace ramppond::fake_platform {

namespace {

constexpr std::size_t kMaximumBodyBytes = 1U << 20U;
constexpr Duration kHeartbeatInterval = milliseconds(300);
constexpr char kHealthPath[] = "/health";

}  // namespace

AppServer::AppServer(EventLoop& loop, std::string host, const Ports& ports, std::string service,
                     std::string instance)
    : loop_(loop),
      host_(std::move(host)),
      ports_(ports),
      service_(std::move(service)),
      name_(std::move(instance)),
      instance_(name_),
      heartbeat_timer_(loop),
      restart_timer_(loop) {}

// A heartbeat in flight and its connection own each other; cancelling breaks the cycle.
AppServer::~AppServer() {
  for (const auto& exchange : exchanges_) {
    exchange->cancel();
  }
}

void AppServer::start() {
  server_ = std::make_unique<StreamHttpServer>(
      loop_, Endpoint{host_, ports_.server}, HttpServerOptions{},
      [this](const std::shared_ptr<ServerExchange>& exchange) { serve(exchange); });
  server_->start();
  startReports();
}

void AppServer::startReports() {
  HttpClientOptions options;
  options.endpoint = {host_, ports_.reports};
  reports_ = std::make_unique<HttpClientPool>(loop_, options);
  beat("ready");
}

void AppServer::beat(const std::string& state) {
  sendHeartbeat(state, takeSequence(),
                [this](int status) { heartbeats_acknowledged += status == 200 ? 1 : 0; });
  heartbeat_timer_.after(kHeartbeatInterval, [this, state] {
    if (heartbeats_enabled_) {
      beat(state);
    }
  });
}

void AppServer::sendHeartbeat(const std::string& state, std::uint64_t sequence,
                              std::function<void(int status)> done) {
  const std::string body = R"({"address":")" + Endpoint{host_, ports_.server}.toString() +
                           R"(","info":{"service":")" + service_ +
                           R"(","version":"v1","zone":"z","slots":)" + std::to_string(slots) +
                           R"(},"status":{"state":")" + state + R"(","seq":)" +
                           std::to_string(sequence) + R"(,"cold_left_s":0}})";
  report("/heartbeat", body, std::move(done));
}

void AppServer::leave(std::function<void(int status)> done) {
  report("/leave", "{}", std::move(done));
}

void AppServer::report(const std::string& path, const std::string& body,
                       std::function<void(int status)> done) {
  Request request;
  request.method = "POST";
  request.target = "/api/instances/" + instance_ + path;
  request.body = body;
  const auto handler = std::make_shared<AnswerCollector>(
      [done](const Answer& answer) { done(answer.complete ? answer.status : 0); });
  handlers_.push_back(handler);
  exchanges_.push_back(
      reports_->start(makeHead(request), BodyFraming::kLength, request.body, true, handler));
}

void AppServer::serveHealth(const std::shared_ptr<ServerExchange>& exchange) {
  health_queries.push_back(EventLoop::now());
  if (!answers_health) {
    return;
  }
  HttpHead head;
  head.status = 200;
  if (!load_report.empty()) {
    head.fields.push_back({"Server-Load", load_report});
  }
  exchange->respond(std::move(head), "");
}

void AppServer::serve(const std::shared_ptr<ServerExchange>& exchange) {
  if (exchange->request().target == kHealthPath) {
    serveHealth(exchange);
    return;
  }
  arrivals.push_back(EventLoop::now());
  if (exchange->request().target.find("/early") != std::string::npos) {
    answerEarly(exchange);
    return;
  }
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->setHandler(
      std::make_shared<WholeBodyHandler>(kMaximumBodyBytes, [this, weak](const std::string& body) {
        const auto timer = std::make_shared<LoopTimer>(loop_);
        timers_.push_back(timer);
        timer->after(work, [this, weak, body] {
          const auto finish = [this, weak, body] {
            const auto alive = weak.lock();
            if (alive != nullptr) {
              finishWork(alive, body);
            }
          };
          if (holds_answers) {
            held_answers_.emplace_back(finish);
          } else {
            finish();
          }
        });
      }));
}

void AppServer::answerEarly(const std::shared_ptr<ServerExchange>& exchange) {
  HttpHead head;
  head.status = 200;
  head.fields.push_back({"Request-Id", exchange->request().get("Request-Id")});
  exchange->sendHead(head, BodyFraming::kChunked);
  exchange->sendBody(std::string(kEarlyAnswerBytes, 'e'));
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->setHandler(
      std::make_shared<WholeBodyHandler>(kMaximumBodyBytes, [weak](const std::string& /*body*/) {
        if (const auto alive = weak.lock()) {
          alive->finish();
        }
      }));
}

void AppServer::releaseAnswers() {
  holds_answers = false;
  for (const auto& finish : std::exchange(held_answers_, {})) {
    finish();
  }
}

bool AppServer::shouldCrash(const HttpHead& request) const {
  const std::string expected = request.get("Expect-Instance");
  const bool meant = expected.empty() || expected == instance_;
  return meant && !crashes_on.empty() && request.target.find(crashes_on) != std::string::npos;
}

void AppServer::finishWork(const std::shared_ptr<ServerExchange>& exchange,
                           const std::string& body) {
  if (shouldCrash(exchange->request())) {
    crash();
  } else {
    answer(exchange, body);
  }
}

void AppServer::crash() {
  crashes += 1;
  server_.reset();
  heartbeat_timer_.cancel();
  for (const auto& exchange : exchanges_) {
    exchange->cancel();
  }
  exchanges_.clear();
  restart_timer_.after(time_to_restart, [this] {
    instance_ = name_ + "-" + std::to_string(crashes);
    sequence_ = 0;
    start();
  });
}

void AppServer::answer(const std::shared_ptr<ServerExchange>& exchange, const std::string& body) {
  const HttpHead& request = exchange->request();
  const std::string id = request.get("Request-Id");
  expected_instance = request.get("Expect-Instance");
  caller_service = request.get("Caller-Service");
  HttpHead head;
  head.fields.push_back({"Request-Id", id});
  if (!named_limit.empty()) {
    head.fields.push_back({"Server-Limit", named_limit});
  }
  if (!load_report.empty()) {
    head.fields.push_back({"Server-Load", load_report});
  }
  if (reports_leaving) {
    head.fields.push_back({"Server-Leaving", "1"});
  }
  if (!expected_instance.empty() && expected_instance != instance_) {
    head.status = 421;
    exchange->respond(std::move(head), "");
    return;
  }
  runs[id] += 1;
  tenants[id] = request.get("Tenant");
  credentials_seen += request.find("Authorization") == nullptr ? 0 : 1;
  head.status = fails ? 500 : 200;
  head.fields.push_back({"Server-Stamp", "stamp-" + id});
  if (request.target.find("/large") != std::string::npos) {
    exchange->respond(std::move(head), std::string(kLargeAnswerBytes, 'x'));
    return;
  }
  exchange->respond(std::move(head),
                    service_ + " " + request.method + " " + request.target + " " + id + " " + body);
}

}  // namespace ramppond::fake_platform
