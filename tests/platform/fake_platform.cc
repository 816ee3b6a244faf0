#include "tests/platform/fake_platform.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace ramppond::fake_platform {

namespace {

constexpr Duration kConditionTimeout = seconds(20);

/// The proxy of this build, or another one that the environment names.
std::string proxyProgram() {
  const char* other = std::getenv("RAMPPOND_PROXY_PROGRAM");
  return other == nullptr ? RAMPPOND_PROXY : other;
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
                        << "]\nbounds = " << stringArray(bounds) << "\n";
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
  file << "]\nbounds = " << stringArray(bounds) << "\n" << proxy_settings;
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
  if (result.status == 307 && handler->location().substr(0, prefix.size()) == prefix) {
    const std::string rest = handler->location().substr(prefix.size());
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

}  // namespace ramppond::fake_platform
