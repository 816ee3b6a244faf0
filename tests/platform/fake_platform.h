// The platform's side of the protocol, for tests with real processes on loopback: machines with
// their servers, an operator, clients. Written from the platform's published protocol alone.
//
// Every machine has a loopback address of its own, and the same ports, as on the platform. The
// programs run as child processes; servers, operator and clients run on the test's event loop.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond::fake_platform {

/// A program started by the test and ended with it.
class Program {
 public:
  Program(const std::string& program, const std::string& settings, const std::string& output);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void signal(int number) const;
  /// Whether it still runs; afterwards exitStatus() tells how it ended.
  bool running();
  /// Its disk takes no more bytes (a limit on the size of its files), or takes them again.
  void fillDisk() const;
  void emptyDisk() const;
  /// The most memory that it has held, in KiB.
  [[nodiscard]] std::size_t peakMemoryKib() const;
  [[nodiscard]] int exitStatus() const { return exit_status_; }

 private:
  pid_t process_ = 0;
  int exit_status_ = -1;
};

struct Ports {
  std::uint16_t operators = 0;
  std::uint16_t members = 0;
  std::uint16_t clients = 0;
  std::uint16_t peers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t reports = 0;
  std::uint16_t server = 0;
};

/// A whole answer as a client saw it.
struct Answer {
  bool complete = false;
  int status = 0;
  std::string body;
  std::string request_id;
  std::string retry_after;
  bool says_leaving = false;  ///< Its server says that it leaves.
};

struct Request {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string request_id;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Length of an answer to a target that holds "/large".
constexpr std::size_t kLargeAnswerBytes = 40U << 20U;

/// A back end that reports itself, answers with what it was asked, and counts what it ran.
class AppServer {
 public:
  AppServer(EventLoop& loop, std::string host, const Ports& ports, std::string service,
            std::string instance);
  ~AppServer();
  AppServer(const AppServer&) = delete;
  AppServer& operator=(const AppServer&) = delete;
  void start();
  void beat(const std::string& state);
  void stopBeating() { beating_ = false; }
  /// Ends as a process that crashes, with all its connections, and is back as a new instance after
  /// `time_to_restart`.
  void crash();
  std::map<std::string, int> runs;             ///< Request id to the times that it ran.
  std::string caller_service;                  ///< Of the last request.
  std::string expected_instance;               ///< Of the last request.
  std::map<std::string, std::string> tenants;  ///< Request id to the tenant that it came with.
  std::size_t credentials_seen = 0;            ///< Requests that carried a client's credential.
  std::size_t beats_acknowledged = 0;
  Duration work = milliseconds(5);
  std::string crashes_on;  ///< It crashes at the end of work on a target that holds this text.
  Duration time_to_restart = milliseconds(300);
  std::size_t crashes = 0;
  std::string named_limit;          ///< Named in each answer; empty for none.
  bool says_leaving = false;        ///< In each answer; its heartbeats say ready all the same.
  std::vector<TimePoint> arrivals;  ///< When each request came.

 private:
  void serve(const std::shared_ptr<ServerExchange>& exchange);
  void finishWork(const std::shared_ptr<ServerExchange>& exchange, const std::string& body);
  void answer(const std::shared_ptr<ServerExchange>& exchange, const std::string& body);
  [[nodiscard]] bool endsIt(const HttpHead& request) const;

  EventLoop& loop_;
  std::string host_;
  Ports ports_;
  std::string service_;
  std::string name_;
  std::string instance_;
  std::unique_ptr<StreamHttpServer> server_;
  std::unique_ptr<HttpClientPool> reports_;
  std::vector<std::shared_ptr<ClientHandler>> handlers_;
  std::vector<std::shared_ptr<ClientExchange>> exchanges_;
  std::vector<std::shared_ptr<LoopTimer>> timers_;
  LoopTimer beat_timer_;
  LoopTimer restart_timer_;
  std::uint64_t sequence_ = 0;
  bool beating_ = true;
};

/// Three control machines and some machines with servers.
class Deployment {
 public:
  Deployment();
  ~Deployment();

  static constexpr int kControlMachines = 3;
  static constexpr int kServerMachines = 4;

  void startControl();
  void startProxies();
  void startProxy(int machine);
  void startServers();
  /// Puts a configuration with the operator's retries and redirects; gives the last status.
  int put(const std::string& base, const std::string& document);
  int putTo(int machine, const std::string& base, const std::string& document);
  /// Reads it back, as the operator does.
  std::string read();
  Answer send(int machine, const Request& request);
  /// Sends without waiting; `done` is called with the answer.
  void sendLater(int machine, const Request& request, std::function<void(const Answer&)> done);
  /// Sends raw bytes that make up a message, right or wrong; gives what came back once a head had
  /// come or the connection had ended.
  std::string sendRaw(const std::string& host, std::uint16_t port, const std::string& bytes);
  /// Sends raw bytes in parts, with a pause before each further one; gives what had come once
  /// `enough` stands in it or the connection had ended.
  std::string sendInParts(const std::string& host, std::uint16_t port,
                          const std::vector<std::string>& parts, const std::string& enough);
  /// Sends raw bytes to which more may follow, so that nothing need come back; gives what did.
  std::string sendUnfinished(const std::string& host, std::uint16_t port, const std::string& bytes);
  int readiness(int machine);
  /// Runs the loop until `condition` holds; false if it does not in good time.
  bool runUntil(const std::function<bool()>& condition);
  void runFor(Duration time);
  std::string controlHost(int machine) const;
  std::string serverHost(int machine) const;

  /// NAME=VALUE each, for processes that are started from now on.
  std::vector<std::string> bounds = {"drain_timeout_s=2", "grace_s=6"};

  EventLoop loop;
  Ports ports;
  std::string folder;
  std::vector<std::unique_ptr<Program>> control;
  std::vector<std::unique_ptr<Program>> proxies;
  std::vector<std::unique_ptr<AppServer>> servers;

 private:
  /// Keeps a request alive until the deployment ends.
  struct SentLater {
    std::shared_ptr<ClientHandler> handler;
    std::shared_ptr<ClientExchange> exchange;
  };
  [[nodiscard]] std::string host(int machine) const;
  Answer call(const std::string& host, std::uint16_t port, const Request& request);
  HttpClientPool& pool(const std::string& host, std::uint16_t port);

  std::vector<SentLater> sent_later_;
  std::map<std::string, std::unique_ptr<HttpClientPool>> pools_;
};

/// A configuration: routes /one/ (safe, service one), /two/ (unsafe, service two).
std::string configurationDocument(const std::string& version, const std::string& extra_prefix);

/// A tenant of a configuration; its limit is 0 for none.
struct StandInTenant {
  std::string name;
  std::vector<std::string> keys;
  int rate_per_s = 0;
};
/// The same with these tenants and a public route /open/ (safe, service one).
std::string tenantDocument(const std::string& version, const std::vector<StandInTenant>& tenants);

}  // namespace ramppond::fake_platform
