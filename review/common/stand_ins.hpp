// Stand-ins for the review cases: a small deployment of the project's own programs, with servers,
// an operator and clients that speak the platform's published protocol over plain sockets.
//
// Every machine has a loopback address of its own and all machines use the same ports, as on the
// platform. Blocking sockets, one thread a connection. No part of the project's sources is used.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Seconds since the start of this program.
double secondsNow();
void sleepSeconds(double time);

/// Writes what was sent, answered and run. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// One TCP connection; closed by the destructor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept { *this = std::move(other); }
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] bool open() const { return descriptor_ >= 0; }
  [[nodiscard]] int descriptor() const { return descriptor_; }
  void close();
  /// Ends the connection by a reset.
  void reset();
  bool send(const std::string& bytes) const;
  /// Sends what the peer takes within `time`; returns the number of bytes taken.
  std::size_t sendWithin(const std::string& bytes, double time) const;
  /// Waits up to `time` for bytes. Returns the number received, 0 at the end of the connection, -1
  /// on an error or a reset, and -2 if nothing came.
  int receive(std::string& bytes, double time) const;

 private:
  int descriptor_ = -1;
};

Socket connectTo(const std::string& host, std::uint16_t port, double time = 1.0);

/// An HTTP message; field names are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;
  [[nodiscard]] std::string field(const std::string& name) const;
  /// Of a response; 0 if it has none.
  [[nodiscard]] int status() const;
  /// Of a request.
  [[nodiscard]] std::string path() const;
};

enum class ReadEnd { complete, closed, reset, invalid, timed_out };

/// Reads messages one after the other from a connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}
  /// The head of the next message, and how its body is framed.
  ReadEnd head(Message& message, double time);
  /// The body of the message whose head was read last.
  ReadEnd body(Message& message, double time);
  ReadEnd whole(Message& message, double time);
  /// Whether some bytes of the next message have arrived already.
  [[nodiscard]] bool hasBytes() const { return !buffer_.empty(); }

 private:
  ReadEnd more(double until);
  ReadEnd chunks(Message& message, double until);
  const Socket& socket_;
  std::string buffer_;
};

/// A child process; killed by the destructor.
class Program {
 public:
  Program(std::string program, std::string settings, std::string output);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void start();
  void signal(int number) const;
  /// Ends it by SIGKILL and waits for its end.
  void kill();
  [[nodiscard]] bool running();
  /// Resident memory in MB; 0 if it does not run.
  [[nodiscard]] double residentMb() const;
  /// Open descriptors.
  [[nodiscard]] int descriptors() const;

 private:
  std::string program_;
  std::string settings_;
  std::string output_;
  pid_t process_ = 0;
};

struct Ports {
  std::uint16_t outbound = 0;
  std::uint16_t inbound = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t app = 0;
  std::uint16_t range = 0;
};

/// What a server does with one request. Returns whether the connection goes on.
class Server;
using Work = std::function<bool(const Server& server, const Message& request, Reader& reader,
                                Socket& connection)>;

/// An application server beside a proxy. Sends heartbeats; serves as `work` says.
class Server {
 public:
  Server(std::string host, Ports ports, std::string service, std::string id, Work work,
         int slots = 142);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens and sends heartbeats from now on.
  void start();
  /// Closes the listener and all connections and sends nothing more.
  void end();
  /// Sends one heartbeat to the control address of its machine. Returns whether it was
  /// acknowledged.
  bool beat(const std::string& state, std::uint64_t sequence) const;
  bool beat(const std::string& state) { return beat(state, ++sequence_); }
  [[nodiscard]] bool leave() const;
  void stopHeartbeats() { beating_ = false; }
  [[nodiscard]] std::uint64_t nextSequence() { return ++sequence_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& host() const { return host_; }
  /// The fields that each answer of this server carries.
  [[nodiscard]] std::string answerFields(const Message& request) const;
  /// Answers with 200 and `body`.
  bool answer(const Message& request, const std::string& body, const Socket& connection) const;

 private:
  void acceptLoop();
  void serve(Socket connection);
  void beatLoop();
  bool call(const std::string& path, const std::string& body) const;

  std::string host_;
  Ports ports_;
  std::string service_;
  std::string id_;
  Work work_;
  int slots_;
  int listener_ = -1;
  std::atomic<bool> running_{false};
  std::atomic<bool> beating_{false};
  std::atomic<std::uint64_t> sequence_{0};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> serving_{0};
};

/// One route of a configuration.
struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout_s = 5;
};

/// Three coordinators and a proxy on each of several machines.
class Deployment {
 public:
  /// `services`: the service of each machine with a proxy.
  Deployment(std::string target, std::vector<std::string> services);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void start();
  /// Puts a configuration as the operator does. Returns whether it was acknowledged.
  bool put(const std::string& base, const std::string& version, const std::vector<Route>& routes);
  /// Waits until each proxy says that it is ready and answers 200 on each of `paths`.
  bool waitUntilServing(const std::vector<std::string>& paths, double time);
  [[nodiscard]] std::string host(std::size_t machine) const;
  [[nodiscard]] std::string coordinatorHost(std::size_t number) const;
  /// Ends all programs that were started.
  void end();

  Ports ports;
  std::vector<std::string> services;
  std::vector<std::unique_ptr<Program>> coordinators;
  std::vector<std::unique_ptr<Program>> proxies;
  std::string folder;

 private:
  void writeCoordinatorSettings(std::size_t number, bool first) const;
  void writeProxySettings(std::size_t machine) const;
  [[nodiscard]] std::string seeds() const;
  std::string target_;
  int net_ = 0;
};

/// The bytes of a request of a client.
std::string requestBytes(const std::string& method, const std::string& path, const std::string& id,
                         int deadline_ms, const std::string& body = "");
/// One request on a new connection.
std::optional<Message> ask(const std::string& host, std::uint16_t port, const std::string& method,
                           const std::string& path, const std::string& id, int deadline_ms);

}  // namespace review
