// Test double of the platform, for tests with real processes on loopback: machines with servers, an
// operator and clients. Implements the platform's published protocol independently of the product.
//
// As on the platform, every machine has its own address (on loopback) and uses the same ports. The
// programs under test run as child processes; servers, operator and clients run on the event loop
// of the test. Not thread-safe.
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

/// A child process; killed by the destructor.
class Program {
 public:
  Program(const std::string& program, const std::string& settings, const std::string& output);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void signal(int number) const;
  /// Returns whether the process still runs. Once it has ended, exitStatus() is valid.
  bool running();
  /// Makes all further writes to files fail, by a file size limit of zero.
  void failDiskWrites() const;
  /// Lifts the limit set by failDiskWrites().
  void restoreDiskWrites() const;
  /// Peak resident memory in KiB.
  [[nodiscard]] std::size_t peakMemoryKib() const;
  /// Processor time used so far.
  [[nodiscard]] double processorSeconds() const;
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

/// An answer as the client received it.
struct Answer {
  bool complete = false;  ///< False if the connection ended first.
  int status = 0;
  std::string body;
  std::string request_id;
  std::string retry_after;
  bool reports_leaving = false;  ///< The server announced that it is leaving.
};

struct Request {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string request_id;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Body size of answers to targets that contain "/large".
constexpr std::size_t kLargeAnswerBytes = 40U << 20U;
/// Bytes sent in answer to targets that contain "/early": more than a proxy buffers of an answer.
/// They are sent once the request head has arrived; the answer ends with the request.
constexpr std::size_t kEarlyAnswerBytes = 60000;

/// A back-end server that sends heartbeats, echoes each request in its answer and counts the
/// requests that it has run.
class AppServer {
 public:
  AppServer(EventLoop& loop, std::string host, const Ports& ports, std::string service,
            std::string instance);
  ~AppServer();
  AppServer(const AppServer&) = delete;
  AppServer& operator=(const AppServer&) = delete;
  void start();
  /// Sends heartbeats only; requests are served by something else at the address.
  void startReports();
  /// Sends a heartbeat with `state` now and at every interval.
  void beat(const std::string& state);
  void stopHeartbeats() { heartbeats_enabled_ = false; }
  /// Takes the sequence of a heartbeat that is sent later with sendHeartbeat().
  std::uint64_t takeSequence() { return ++sequence_; }
  /// Sends a single heartbeat. `done` is called with the status of the answer; 0 for none.
  void sendHeartbeat(const std::string& state, std::uint64_t sequence,
                     std::function<void(int status)> done);
  /// Sends the message that this server is about to end; `done` is called as by sendHeartbeat().
  void leave(std::function<void(int status)> done);
  /// Simulates a crash: closes all connections, and starts again as a new instance after
  /// `time_to_restart`.
  void crash();
  std::map<std::string, int> runs;             ///< Number of runs by request id.
  std::string caller_service;                  ///< Of the last request.
  std::string expected_instance;               ///< Of the last request.
  std::map<std::string, std::string> tenants;  ///< Tenant field by request id.
  std::size_t credentials_seen = 0;            ///< Number of requests with a client's credential.
  std::size_t heartbeats_acknowledged = 0;
  Duration work = milliseconds(5);
  int slots = 8;  ///< In its heartbeats.
  std::string
      crashes_on;  ///< Crashes after processing a target that contains this text; empty for never.
  Duration time_to_restart = milliseconds(300);
  std::size_t crashes = 0;
  std::string named_limit;  ///< Limit announced in each answer; empty for none.
  bool reports_leaving =
      false;  ///< Announces in each answer that it leaves; heartbeats still say ready.
  std::vector<TimePoint> arrivals;  ///< Arrival time of each request.
  bool fails = false;               ///< Answers requests with 500 once it has run them.
  bool holds_answers = false;  ///< Requests that have been worked on wait for releaseAnswers().
  /// Answers the requests that were held, and no longer holds any.
  void releaseAnswers();
  std::string load_report;  ///< Server-Load in responses and on the health path; empty for none.
  bool answers_health = true;
  std::vector<TimePoint> health_queries;  ///< Arrival time of each request to the health path.

 private:
  void serve(const std::shared_ptr<ServerExchange>& exchange);
  void report(const std::string& path, const std::string& body,
              std::function<void(int status)> done);
  void answerEarly(const std::shared_ptr<ServerExchange>& exchange);
  void finishWork(const std::shared_ptr<ServerExchange>& exchange, const std::string& body);
  void answer(const std::shared_ptr<ServerExchange>& exchange, const std::string& body);
  /// Responds at once and without a slot, as servers that report four values do.
  void serveHealth(const std::shared_ptr<ServerExchange>& exchange);
  [[nodiscard]] bool shouldCrash(const HttpHead& request) const;

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
  std::vector<std::function<void()>> held_answers_;
  LoopTimer heartbeat_timer_;
  LoopTimer restart_timer_;
  std::uint64_t sequence_ = 0;
  bool heartbeats_enabled_ = true;
};

/// A deployment of three control machines and several machines with servers.
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
  /// Puts a configuration as the operator does: retries on failure and follows redirects. Returns
  /// the last status; 0 if there was no answer.
  int put(const std::string& base, const std::string& document);
  int putTo(int machine, const std::string& base, const std::string& document);
  /// Reads the configuration as the operator does.
  std::string read();
  Answer send(int machine, const Request& request);
  /// Starts a request without waiting for it; `done` is called with the answer.
  void sendLater(int machine, const Request& request, std::function<void(const Answer&)> done);
  /// The same from another proxy: to the port of `machine` for requests of other proxies.
  void sendLaterAsPeer(int machine, const Request& request,
                       std::function<void(const Answer&)> done);
  /// Sends the bytes of a valid or malformed message. Returns the bytes received up to a complete
  /// header or the end of the connection.
  std::string sendRaw(const std::string& host, std::uint16_t port, const std::string& bytes);
  /// Sends raw bytes in parts with a pause before each further part. Returns the bytes received
  /// until they contain `expected_text` or the connection ends.
  std::string sendInParts(const std::string& host, std::uint16_t port,
                          const std::vector<std::string>& parts, const std::string& expected_text);
  /// Sends `first`, waits until `awaited_bytes` have been received and sends `rest`. Returns the
  /// bytes received until the connection ends or its last bytes are `expected_end`.
  std::string sendRestLater(const std::string& host, std::uint16_t port, const std::string& first,
                            std::size_t awaited_bytes, const std::string& rest,
                            const std::string& expected_end);
  /// Sends the bytes of an incomplete message, which may get no answer. Returns the bytes received
  /// within a fixed time.
  std::string sendUnfinished(const std::string& host, std::uint16_t port, const std::string& bytes);
  /// Sends the bytes of an incomplete message and leaves. Returns once the receiver has closed the
  /// connection.
  void abandon(const std::string& host, std::uint16_t port, const std::string& bytes);
  int readiness(int machine);
  /// Runs the loop until `condition` holds. Returns false on a timeout.
  bool runUntil(const std::function<bool()>& condition);
  void runFor(Duration time);
  std::string controlHost(int machine) const;
  std::string serverHost(int machine) const;

  /// Bounds (NAME=VALUE each) in the settings of processes that are started from now on.
  std::vector<std::string> bounds = {"drain_timeout_s=2", "grace_s=6"};
  /// Further lines of the settings of proxies that are started from now on.
  std::string proxy_settings;

  EventLoop loop;
  Ports ports;
  std::string folder;
  std::vector<std::unique_ptr<Program>> control;
  std::vector<std::unique_ptr<Program>> proxies;
  std::vector<std::unique_ptr<AppServer>> servers;

 private:
  void startLater(const std::string& host, std::uint16_t port, const Request& request,
                  std::function<void(const Answer&)> done);
  /// Keeps a request of sendLater() alive until the deployment ends.
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

/// Returns a configuration with the routes /one/ (safe, service one), /two/ (unsafe, service two)
/// and `extra_prefix` (safe, service two).
std::string configurationDocument(const std::string& version, const std::string& extra_prefix);

/// A tenant of a configuration.
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
  int rate_per_s = 0;  ///< 0 for no limit.
};
/// Returns the configuration of configurationDocument() with `tenants` and a public route /open/
/// (safe, service one).
std::string tenantDocument(const std::string& version, const std::vector<TenantSpec>& tenants);

}  // namespace ramppond::fake_platform
