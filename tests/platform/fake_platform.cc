#include "tests/platform/fake_platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

namespace ramppond::fake_platform {
namespace {

constexpr Duration kConditionTimeout = seconds(20);
constexpr std::size_t kMaximumBodyBytes = 1U << 20U;
constexpr Duration kHeartbeatInterval = milliseconds(300);
constexpr char kHealthPath[] = "/health";

/// Returns distinct ports of one address, chosen by the kernel. All sockets stay open until all
/// ports are chosen, so that no port is chosen twice.
Ports freePorts(EventLoop& loop, const std::string& host) {
  using Acceptor = boost::asio::ip::tcp::acceptor;
  std::vector<std::unique_ptr<Acceptor>> held;
  const auto next = [&] {
    held.push_back(std::make_unique<Acceptor>(
        loop.context(), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(host), 0)));
    return held.back()->local_endpoint().port();
  };
  return {next(), next(), next(), next(), next(), next(), next()};
}

/// Collects an answer and calls `done` at its end or on a failure.
class AnswerCollector : public ClientHandler {
 public:
  explicit AnswerCollector(std::function<void(const Answer&)> done) : done_(std::move(done)) {}
  void onResponseHead(HttpHead head) override {
    answer_.status = head.status;
    answer_.request_id = head.get("Request-Id");
    answer_.retry_after = head.get("Retry-After");
    answer_.reports_leaving = head.get("Server-Leaving") == "1";
    location = head.get("Location");
  }
  void onResponseBody(std::string_view data) override { answer_.body.append(data); }
  void onResponseEnd() override {
    answer_.complete = true;
    done_(answer_);
  }
  void onRequestFailed(ClientFailure /*failure*/) override { done_(answer_); }
  std::string location;

 private:
  Answer answer_;
  std::function<void(const Answer&)> done_;
};

HttpHead makeHead(const Request& request) {
  HttpHead head;
  head.method = request.method;
  head.target = request.target;
  head.fields.push_back({"Host", request.host.empty() ? "machine" : request.host});
  if (!request.request_id.empty()) {
    head.fields.push_back({"Request-Id", request.request_id});
  }
  for (const auto& [name, value] : request.headers) {
    head.fields.push_back({name, value});
  }
  if (!request.body.empty()) {
    head.content_length = request.body.size();
  }
  return head;
}

/// The proxy of this build, or another one that the environment names.
std::string proxyProgram() {
  const char* other = std::getenv("RAMPPOND_PROXY_PROGRAM");
  return other == nullptr ? RAMPPOND_PROXY : other;
}

/// Formats a TOML array of strings.
std::string tomlList(const std::vector<std::string>& texts) {
  std::string list = "[";
  for (const std::string& text : texts) {
    list += (list.size() == 1 ? "\"" : ",\"") + text + "\"";
  }
  return list + "]";
}

/// Sends raw bytes and collects all bytes received.
class RawClient : public TcpConnection {
 public:
  RawClient(EventLoop& loop, std::string bytes) : TcpConnection(loop), bytes_(std::move(bytes)) {}
  void open(const Endpoint& endpoint) { connect(endpoint, seconds(2)); }
  void sendMore(const std::string& bytes) { write(bytes); }
  std::string received;
  bool ended = false;

 private:
  void onConnected() override {
    startReading();
    write(bytes_);
  }
  void onConnectFailed(ConnectFailure /*failure*/) override { ended = true; }
  void onData(std::string_view bytes) override { received.append(bytes); }
  void onEnd(ConnectionEnd /*end*/) override {
    ended = true;
    abort(false);
  }
  std::string bytes_;
};

}  // namespace

Program::Program(const std::string& program, const std::string& settings,
                 const std::string& output) {
  process_ = ::fork();
  if (process_ != 0) {
    return;
  }
  const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  // Otherwise a program that starts later keeps the listening sockets of servers that have ended.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
  ::_exit(127);
}

Program::~Program() {
  if (running()) {
    signal(SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
}

void Program::signal(int number) const {
  ::kill(process_, number);
}

void Program::failDiskWrites() const {
  rlimit limit = {};
  ::prlimit(process_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = 0;
  ::prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
}

void Program::restoreDiskWrites() const {
  rlimit limit = {};
  ::prlimit(process_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
}

std::size_t Program::peakMemoryKib() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

double Program::processorSeconds() const {
  std::ifstream stat("/proc/" + std::to_string(process_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  // The second field is the program's name in brackets; user and system time are fields 14 and 15.
  std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
  constexpr int kFieldsBefore = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBefore; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

bool Program::running() {
  if (process_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) {
    return true;
  }
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  process_ = 0;
  return false;
}

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

Deployment::Deployment() {
  ports = freePorts(loop, host(1));
  std::string pattern = (std::filesystem::temp_directory_path() / "ramppond-XXXXXX").string();
  folder = ::mkdtemp(pattern.data());
}

Deployment::~Deployment() {
  for (const SentLater& sent : sent_later_) {
    sent.exchange->cancel();
  }
  proxies.clear();
  control.clear();
  std::filesystem::remove_all(folder);
}

// Derives the address from the process id, because test processes run in parallel.
std::string Deployment::host(int machine) const {
  constexpr int kRange = 250;
  const int process = ::getpid();
  return "127." + std::to_string(1 + process % kRange) + "." +
         std::to_string(process / kRange % kRange) + "." + std::to_string(machine);
}

std::string Deployment::controlHost(int machine) const {
  return host(10 + machine);
}

std::string Deployment::serverHost(int machine) const {
  return host(20 + machine);
}

void Deployment::startControl() {
  std::string seeds;
  for (int machine = 0; machine < kControlMachines; ++machine) {
    seeds += (machine == 0 ? "\"" : ",\"") +
             Endpoint{controlHost(machine), ports.operators}.toString() + "\"";
  }
  for (int machine = 0; machine < kControlMachines; ++machine) {
    const std::string name = "control-" + std::to_string(machine);
    const std::string path = folder + "/" + name + ".toml";
    std::ofstream(path) << "name = \"" << name << "\"\noperator_address = \""
                        << controlHost(machine) << ":" << ports.operators
                        << "\"\nmember_address = \"" << controlHost(machine) << ":" << ports.members
                        << "\"\ndata_folder = \"" << folder << "/" << name
                        << "\"\nfirst_start = true\nseeds = [" << seeds
                        << "]\nbounds = " << tomlList(bounds) << "\n";
    control.push_back(std::make_unique<Program>(RAMPPOND_COORDINATOR, path, folder + "/log"));
  }
}

void Deployment::startProxies() {
  proxies.resize(kServerMachines);
  for (int machine = 0; machine < kServerMachines; ++machine) {
    startProxy(machine);
  }
}

void Deployment::startProxy(int machine) {
  const std::string name = "server-" + std::to_string(machine);
  const std::string path = folder + "/" + name + ".toml";
  const std::string host = serverHost(machine);
  std::ofstream file(path);
  file << "name = \"" << name << "\"\nzone = \"z\"\nservice = \""
       << (machine % 2 == 0 ? "one" : "two") << "\"\n";
  const auto address = [&](const char* key, std::uint16_t port) {
    file << key << " = \"" << host << ":" << port << "\"\n";
  };
  address("client_address", ports.clients);
  address("peer_address", ports.peers);
  address("readiness_address", ports.readiness);
  address("report_address", ports.reports);
  address("server_address", ports.server);
  file << "member_port = " << ports.members << "\nseeds = [";
  for (int seed = 0; seed < kControlMachines; ++seed) {
    file << (seed == 0 ? "\"" : ",\"") << controlHost(seed) << ":" << ports.operators << "\"";
  }
  file << "]\nbounds = " << tomlList(bounds) << "\n" << proxy_settings;
  file.close();
  proxies[static_cast<std::size_t>(machine)] =
      std::make_unique<Program>(proxyProgram(), path, folder + "/log");
}

void Deployment::startServers() {
  for (int machine = 0; machine < kServerMachines; ++machine) {
    servers.push_back(std::make_unique<AppServer>(loop, serverHost(machine), ports,
                                                  machine % 2 == 0 ? "one" : "two",
                                                  "i-" + std::to_string(machine)));
    servers.back()->start();
  }
}

HttpClientPool& Deployment::pool(const std::string& host, std::uint16_t port) {
  auto& pool = pools_[host + ":" + std::to_string(port)];
  if (pool == nullptr) {
    HttpClientOptions options;
    options.endpoint = {host, port};
    pool = std::make_unique<HttpClientPool>(loop, options);
  }
  return *pool;
}

Answer Deployment::call(const std::string& host, std::uint16_t port, const Request& request) {
  Answer result;
  bool done = false;
  const auto handler = std::make_shared<AnswerCollector>([&](const Answer& answer) {
    result = answer;
    done = true;
  });
  const auto exchange = pool(host, port)
                            .start(makeHead(request),
                                   request.body.empty() ? BodyFraming::kNone : BodyFraming::kLength,
                                   request.body, true, handler);
  runUntil([&] { return done; });
  const std::string prefix = "http://";
  if (result.status == 307 && handler->location.substr(0, prefix.size()) == prefix) {
    const std::string rest = handler->location.substr(prefix.size());
    const auto endpoint = parseEndpoint(rest.substr(0, rest.find('/')));
    return endpoint ? call(endpoint->host, endpoint->port, request) : result;
  }
  return result;
}

int Deployment::putTo(int machine, const std::string& base, const std::string& document) {
  Request request;
  request.method = "POST";
  request.target = "/api/config/put";
  request.body = document;
  request.headers["Base-Version"] = base;
  return call(controlHost(machine), ports.operators, request).status;
}

int Deployment::put(const std::string& base, const std::string& document) {
  int status = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    status = putTo(attempt % kControlMachines, base, document);
    if (status != 0 && status < 500) {
      break;
    }
    runFor(milliseconds(50));
  }
  return status;
}

std::string Deployment::read() {
  Request request;
  request.target = "/api/config/get";
  return call(controlHost(0), ports.operators, request).body;
}

Answer Deployment::send(int machine, const Request& request) {
  return call(serverHost(machine), ports.clients, request);
}

void Deployment::sendLater(int machine, const Request& request,
                           std::function<void(const Answer&)> done) {
  startLater(serverHost(machine), ports.clients, request, std::move(done));
}

void Deployment::sendLaterAsPeer(int machine, const Request& request,
                                 std::function<void(const Answer&)> done) {
  startLater(serverHost(machine), ports.peers, request, std::move(done));
}

void Deployment::startLater(const std::string& host, std::uint16_t port, const Request& request,
                            std::function<void(const Answer&)> done) {
  const auto handler = std::make_shared<AnswerCollector>(std::move(done));
  const BodyFraming framing = request.body.empty() ? BodyFraming::kNone : BodyFraming::kLength;
  HttpClientPool& clients = pool(host, port);
  sent_later_.push_back(
      {handler, clients.start(makeHead(request), framing, request.body, true, handler)});
}

std::string Deployment::sendRaw(const std::string& host, std::uint16_t port,
                                const std::string& bytes) {
  const auto client = std::make_shared<RawClient>(loop, bytes);
  client->open({host, port});
  EXPECT_TRUE(runUntil([&] {
    return client->ended || client->received.find("\r\n\r\n") != std::string::npos;
  })) << "no answer to "
      << bytes;
  client->abort(false);
  return client->received;
}

std::string Deployment::sendInParts(const std::string& host, std::uint16_t port,
                                    const std::vector<std::string>& parts,
                                    const std::string& expected_text) {
  const auto client = std::make_shared<RawClient>(loop, parts.front());
  client->open({host, port});
  for (std::size_t part = 1; part < parts.size(); ++part) {
    runFor(milliseconds(50));
    client->sendMore(parts[part]);
  }
  EXPECT_TRUE(runUntil([&] {
    return client->ended || client->received.find(expected_text) != std::string::npos;
  })) << "no "
      << expected_text;
  client->abort(false);
  return client->received;
}

std::string Deployment::sendRestLater(const std::string& host, std::uint16_t port,
                                      const std::string& first, std::size_t awaited_bytes,
                                      const std::string& rest, const std::string& expected_end) {
  const auto client = std::make_shared<RawClient>(loop, first);
  client->open({host, port});
  const auto has_end = [&] {
    const std::string& received = client->received;
    return received.size() >= expected_end.size() &&
           received.compare(received.size() - expected_end.size(), std::string::npos,
                            expected_end) == 0;
  };
  EXPECT_TRUE(runUntil([&] { return client->ended || client->received.size() >= awaited_bytes; }));
  client->sendMore(rest);
  EXPECT_TRUE(runUntil([&] { return client->ended || has_end(); }));
  client->abort(false);
  return client->received;
}

std::string Deployment::sendUnfinished(const std::string& host, std::uint16_t port,
                                       const std::string& bytes) {
  const auto client = std::make_shared<RawClient>(loop, bytes);
  client->open({host, port});
  runFor(milliseconds(200));
  client->abort(false);
  return client->received;
}

void Deployment::abandon(const std::string& host, std::uint16_t port, const std::string& bytes) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const int client = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval time_limit = {5, 0};
  ::setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &time_limit, sizeof time_limit);
  EXPECT_EQ(::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  EXPECT_EQ(::send(client, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  ::shutdown(client, SHUT_WR);
  char byte = 0;
  EXPECT_EQ(::recv(client, &byte, 1, 0), 0) << "the connection was not closed";
  ::close(client);
}

int Deployment::readiness(int machine) {
  Request request;
  request.target = "/api/ready";
  return call(serverHost(machine), ports.readiness, request).status;
}

bool Deployment::runUntil(const std::function<bool()>& condition) {
  const TimePoint end = EventLoop::now() + kConditionTimeout;
  bool holds =
      condition();  // Evaluated once per iteration, because a condition may send a request.
  while (!holds && EventLoop::now() < end) {
    loop.context().restart();
    loop.context().run_one_for(milliseconds(20));
    holds = condition();
  }
  return holds;
}

void Deployment::runFor(Duration time) {
  const TimePoint end = EventLoop::now() + time;
  while (EventLoop::now() < end) {
    loop.context().restart();
    loop.context().run_one_for(milliseconds(5));
  }
}

std::string configurationDocument(const std::string& version, const std::string& extra_prefix) {
  const auto route = [](const std::string& name, const std::string& prefix, const std::string& kind,
                        const std::string& service) {
    return R"({"type":"routes","meta":{"name":")" + name +
           R"("},"spec":{"host":"app.example","path_prefix":")" + prefix + R"(","kind":")" + kind +
           R"(","timeout_s":5,"goal_s":1,"priority":1,"max_attempts":2,"service":")" + service +
           R"("}})";
  };
  const std::string service_end = R"("},"spec":{"health_path":"/health","max_conns":100}})";
  return R"({"version":")" + version + R"(","resources":[)" +
         route("r-one", "/one/", "safe", "one") + "," + route("r-two", "/two/", "unsafe", "two") +
         "," + route("r-extra", extra_prefix, "safe", "two") + "," +
         R"({"type":"services","meta":{"name":"one)" + service_end + "," +
         R"({"type":"services","meta":{"name":"two)" + service_end +
         R"(,{"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
         R"("header_timeout_s":3,"idle_timeout_s":15}}]})";
}

std::string tenantDocument(const std::string& version, const std::vector<TenantSpec>& tenants) {
  std::string document = configurationDocument(version, "/first/");
  std::string added =
      R"({"type":"routes","meta":{"name":"r-open"},"spec":{"host":"app.example",)"
      R"("path_prefix":"/open/","kind":"safe","timeout_s":5,"goal_s":1,"priority":1,)"
      R"("max_attempts":2,"service":"one","public":true}})";
  for (const TenantSpec& tenant : tenants) {
    added += R"(,{"type":"tenants","meta":{"name":")" + tenant.name + R"("},"spec":{"api_keys":)" +
             tomlList(tenant.keys) + R"(,"priority":1,"rate_per_s":)" +
             std::to_string(tenant.rate_per_s) + R"(,"burst":)" +
             std::to_string(tenant.rate_per_s) + "}}";
  }
  return document.insert(document.size() - 2, "," + added);
}

}  // namespace ramppond::fake_platform
