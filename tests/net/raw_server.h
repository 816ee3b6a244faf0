// A server on a thread of its own that answers requests with whatever bytes a test likes, and ends
// connections in whatever way.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace ramppond {

/// Returns `pattern` as many times as it takes to have `minimum_bytes`.
inline std::string repeated(std::string_view pattern, std::size_t minimum_bytes) {
  std::string block;
  while (block.size() < minimum_bytes) {
    block += pattern;
  }
  return block;
}

/// One accepted connection, used on its thread. Closed by the destructor.
class RawServerConnection {
 public:
  RawServerConnection(int socket, const std::atomic<bool>& stopping)
      : socket_(socket), stopping_(stopping) {}
  ~RawServerConnection() { ::close(socket_); }
  RawServerConnection(const RawServerConnection&) = delete;
  RawServerConnection& operator=(const RawServerConnection&) = delete;

  /// Reads up to the end of a request's head and returns the head; what follows it stays unread.
  /// Empty if the connection ends first.
  std::string readHead() {
    std::string head;
    char byte = 0;
    while (head.size() < 4 || head.compare(head.size() - 4, 4, "\r\n\r\n") != 0) {
      if (!awaitReadable() || ::recv(socket_, &byte, 1, 0) != 1) {
        return "";
      }
      head.push_back(byte);
    }
    return head;
  }
  /// Returns whether all bytes were sent.
  bool send(std::string_view bytes) {
    while (!bytes.empty()) {
      pollfd writable = {socket_, POLLOUT, 0};
      const int ready = ::poll(&writable, 1, kPollMs);
      if (stopping_) {
        return false;
      }
      if (ready == 0) {
        continue;
      }
      const ssize_t count =
          ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count <= 0) {
        return false;
      }
      sent_ += static_cast<std::size_t>(count);
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  /// Sends `bytes` again and again, with a pause before each time, until the peer closes or `limit`
  /// bytes were sent.
  void sendForever(std::string_view bytes, std::size_t limit, int pause_ms = 0) {
    while (sent_ < limit && send(bytes)) {
      pause(pause_ms);
    }
  }
  /// Reads on until the peer closes.
  void readToEnd() {
    char buffer[65536];
    while (awaitReadable() && ::recv(socket_, buffer, sizeof buffer, 0) > 0) {
    }
  }
  /// Sends an answer that stops there: ends the connection by a reset, or in order.
  void stopAfter(std::string_view bytes, bool resets) {
    constexpr int kArrivalMs = 50;  // Until the bytes are read.
    send(bytes);
    pause(kArrivalMs);
    if (resets) {
      resetOnClose();
      return;
    }
    finishSending();
    readToEnd();
  }
  /// Sends the end of the stream; reading goes on.
  void finishSending() { ::shutdown(socket_, SHUT_WR); }
  /// The connection will end by a reset, whether or not bytes were left unread.
  void resetOnClose() {
    const linger option = {1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }
  /// Ends the connection by a reset at once.
  void reset() {
    sockaddr none = {};
    none.sa_family = AF_UNSPEC;
    ::connect(socket_, &none, sizeof none);
  }
  /// Waits; returns early when the server stops.
  void pause(int milliseconds) {
    constexpr int kStepMs = 5;
    for (int waited = 0; waited < milliseconds && !stopping_; waited += kStepMs) {
      ::usleep(kStepMs * 1000);
    }
  }
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  static constexpr int kPollMs = 20;

  bool awaitReadable() {
    pollfd readable = {socket_, POLLIN, 0};
    while (!stopping_) {
      if (::poll(&readable, 1, kPollMs) != 0) {
        return true;
      }
    }
    return false;
  }

  int socket_;
  const std::atomic<bool>& stopping_;
  std::size_t sent_ = 0;
};

/// Listens on one address; runs `serve` on a thread for each connection, which ends with it.
class RawServer {
 public:
  using Serve = std::function<void(RawServerConnection&)>;

  /// Port 0 takes any free one.
  RawServer(const std::string& host, std::uint16_t port, Serve serve)
      : serve_(std::move(serve)), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int enabled = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    listening_ =
        ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(listener_, kBacklog) == 0;
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptAll(); });
  }
  ~RawServer() {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& connection : connections_) {
      connection.join();
    }
    ::close(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] bool listening() const { return listening_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] int accepted() const { return accepted_; }

 private:
  static constexpr int kBacklog = 128;
  static constexpr int kPollMs = 20;

  void acceptAll() {
    pollfd readable = {listener_, POLLIN, 0};
    while (!stopping_) {
      if (::poll(&readable, 1, kPollMs) != 1) {
        continue;
      }
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      accepted_ += 1;
      connections_.emplace_back([this, socket] {
        RawServerConnection connection(socket, stopping_);
        serve_(connection);
      });
    }
  }

  Serve serve_;
  int listener_;
  std::uint16_t port_ = 0;
  bool listening_ = false;
  std::atomic<bool> stopping_{false};
  std::atomic<int> accepted_{0};
  std::thread acceptor_;
  std::vector<std::thread> connections_;  // Of the acceptor's thread until it has ended.
};

}  // namespace ramppond
