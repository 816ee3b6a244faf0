// HTTP/1.1 client side of the forwarding path: a pool of kept connections to one address, one
// request at a time on each.
//
// An answer is taken for a request's own only if it echoes the request's id; a surplus answer to
// an earlier request is passed over, and its connection is not used again. A connection that brings
// more than a bounded number of bytes before the answer is closed; memory for it is bounded by the
// head of one answer. A resting connection that the peer has closed, or on which it has sent bytes,
// is closed and carries no request.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "net/stream/http_head.h"
#include "net/stream/http_parser.h"
#include "net/stream/tcp_connection.h"

namespace ramppond {

class HttpClientConnection;
class HttpClientPool;

/// How far a failed request got.
enum class ClientFailure : std::uint8_t {
  kNoSocket,       ///< This process has no socket left; nothing was sent.
  kNotConnected,   ///< The peer did not answer the connection; nothing was sent: provably not run.
  kRefused,        ///< The peer refused the connection; nothing was sent: provably not run.
  kNoAnswer,       ///< It was sent and the connection ended before an answer: unknown.
  kInvalidAnswer,  ///< What came is not an answer to it: unknown.
  kBrokenAnswer,   ///< The answer broke off after its head was told.
};

class ClientHandler {
 public:
  virtual ~ClientHandler() = default;
  /// An interim answer came; the answer itself follows.
  virtual void onInterim(int /*status*/) {}
  virtual void onResponseHead(HttpHead head) = 0;
  virtual void onResponseBody(std::string_view data) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onRequestFailed(ClientFailure failure) = 0;
  /// The peer has read enough for more of the request's body to be sent.
  virtual void onRequestDrained() {}
};

/// One request under way. Does nothing after its end was told or it was cancelled.
class ClientExchange {
 public:
  explicit ClientExchange(std::weak_ptr<ClientHandler> handler) : handler_(std::move(handler)) {}

  void sendBody(std::string_view data);
  void finishBody();
  /// Ends the request and its connection; nothing more is told.
  void cancel();
  void pauseResponse();
  void resumeResponse();
  [[nodiscard]] bool congested() const;
  /// Whether any byte may have reached the peer.
  [[nodiscard]] bool sent() const { return sent_; }
  /// Whether it went over a connection that had rested; the peer may have forgotten that.
  [[nodiscard]] bool reusedConnection() const { return reused_connection_; }

 private:
  friend class HttpClientConnection;
  friend class HttpClientPool;
  std::shared_ptr<HttpClientConnection> connection_;
  std::weak_ptr<ClientHandler> handler_;
  std::string head_bytes_;  ///< Head and first part of the body, until connected.
  std::string request_id_;  ///< Must come back; empty for no check.
  bool chunked_ = false;
  bool no_response_body_ = false;
  bool body_finished_ = false;
  bool sent_ = false;
  bool reused_connection_ = false;
};

struct HttpClientOptions {
  Endpoint endpoint;
  Duration connect_timeout = milliseconds(400);
  Duration user_timeout = seconds(4);  ///< Sent bytes unacknowledged for this long: broken.
  Duration idle_timeout = seconds(4);  ///< Unless the peer tells a shorter one.
  std::size_t max_idle = 256;
  bool keep_when_scarce = false;  ///< Idle connections stay when the process is short of sockets.
  std::string id_header;          ///< Names the header whose value must come back.
  /// Names a header by which the peer tells that its answer is to whatever request comes next on a
  /// connection that it closes: such an answer needs no id. Empty for none.
  std::string farewell_header;
};

struct HttpClientCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t surplus_answers = 0;
  std::uint64_t surplus_bytes = 0;
};

class HttpClientPool {
 public:
  HttpClientPool(EventLoop& loop, HttpClientOptions options);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Sends a request. `body` is its first part, or all of it if `body_complete`.
  std::shared_ptr<ClientExchange> start(const HttpHead& head, BodyFraming framing,
                                        std::string_view body, bool body_complete,
                                        const std::shared_ptr<ClientHandler>& handler);
  /// Closes idle connections that have rested too long, or all when sockets are scarce; call about
  /// once a second.
  void sweep();
  /// Closes all idle connections.
  void closeIdle();
  [[nodiscard]] std::size_t idle() const { return idle_.size(); }
  [[nodiscard]] std::size_t open() const { return open_; }
  /// Connections that stand, idle ones included.
  [[nodiscard]] std::size_t established() const { return established_; }
  [[nodiscard]] const HttpClientCounters& counters() const { return counters_; }
  [[nodiscard]] const HttpClientOptions& options() const { return options_; }

 private:
  friend class HttpClientConnection;
  struct Idle {
    std::shared_ptr<HttpClientConnection> connection;
    TimePoint until{0};
  };
  /// Takes a resting connection that can carry a request, and closes those found unusable; null if
  /// there is none.
  std::shared_ptr<HttpClientConnection> takeIdle();
  void release(const std::shared_ptr<HttpClientConnection>& connection, Duration keep);
  void forget(const HttpClientConnection* connection);

  EventLoop& loop_;
  HttpClientOptions options_;
  std::deque<Idle> idle_;  ///< The one used last is at the back.
  std::size_t open_ = 0;
  std::size_t established_ = 0;
  HttpClientCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ramppond
