// A back-end server of the test double; runs on the event loop of the test.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/stream/http_client.h"
#include "net/stream/http_server.h"
#include "tests/platform/ports.h"

namespace ramppond::fake_platform {

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

}  // namespace ramppond::fake_platform
