// Test double of the platform, for tests with real processes on loopback: machines with servers, an
// operator and clients. Implements the platform's published protocol independently of the product.
//
// As on the platform, every machine has its own address (on loopback) and uses the same ports. The
// programs under test run as child processes; servers, operator and clients run on the event loop
// of the test. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/stream/http_client.h"
#include "tests/platform/app_server.h"
#include "tests/platform/client_request.h"
#include "tests/platform/configuration_documents.h"
#include "tests/platform/ports.h"
#include "tests/platform/program.h"

namespace ramppond::fake_platform {

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

}  // namespace ramppond::fake_platform
