// HTTP/1.1 server side of the forwarding path: streamed bodies both ways, answers in the order of
// the requests, and connections that end without cutting an answer.
//
// Requests with a safe method that arrive behind others on a connection are begun at once and
// answered in order; any other request is begun when all before it are answered, since a client
// sends whatever lies behind a closing answer again.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "net/stream/http_head.h"
#include "net/stream/http_parser.h"
#include "net/stream/tcp_connection.h"
#include "net/stream/tcp_listener.h"

namespace ramppond {

class HttpServerConnection;

/// What happens to a request after its head, told to whoever answers it.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual void onRequestBody(std::string_view data) = 0;
  virtual void onRequestEnd() = 0;
  /// The client closed or the connection broke; nothing more is told.
  virtual void onClientGone() = 0;
  /// The client has read enough for more to be sent.
  virtual void onResponseDrained() {}
};

/// Collects a request's whole body and hands it over.
class WholeBodyHandler : public ExchangeHandler {
 public:
  /// Bytes beyond `limit` are left out; no valid message is that long.
  WholeBodyHandler(std::size_t limit, std::function<void(const std::string&)> whole)
      : limit_(limit), whole_(std::move(whole)) {}
  void onRequestBody(std::string_view data) override {
    if (body_.size() < limit_) {
      body_.append(data);
    }
  }
  void onRequestEnd() override { whole_(body_); }
  void onClientGone() override {}

 private:
  std::size_t limit_;
  std::function<void(const std::string&)> whole_;
  std::string body_;
};

/// One request and its answer. Valid after its connection has ended; then it does nothing.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(HttpServerConnection& connection, HttpHead request);

  [[nodiscard]] const HttpHead& request() const { return request_; }
  HttpHead& mutableRequest() { return request_; }
  void setHandler(std::shared_ptr<ExchangeHandler> handler) { handler_ = std::move(handler); }
  [[nodiscard]] bool hasBody() const;

  /// An interim answer (RFC 9110, 15.2) before the answer itself.
  void sendInterim(int status);
  /// Begins the answer; sendBody() and finish() follow. kLength takes head.content_length.
  void sendHead(const HttpHead& head, BodyFraming framing);
  void sendBody(std::string_view data);
  void finish();
  /// A whole answer in one go. Breaks the answer off if another one has begun, which this one would
  /// be read as a part of.
  void respond(HttpHead head, std::string_view body);
  /// Breaks the answer off, so that the client sees that it is not complete.
  void breakOff();
  [[nodiscard]] bool headSent() const { return head_sent_; }
  [[nodiscard]] bool over() const { return finished_ || connection_ == nullptr; }
  /// Whether whoever sends should wait for onResponseDrained().
  [[nodiscard]] bool congested() const;
  void pauseRequestBody();
  void resumeRequestBody();
  /// The connection ends after this answer, if no other request has begun on it.
  void closeAfterwards() { close_wanted_ = true; }

 private:
  friend class HttpServerConnection;
  void put(std::string_view bytes);

  HttpServerConnection* connection_;
  HttpHead request_;
  std::shared_ptr<ExchangeHandler> handler_;
  std::string held_;  ///< Of an answer whose turn has not come.
  BodyFraming framing_ = BodyFraming::kNone;
  bool first_ = false;  ///< Its turn has come.
  bool head_sent_ = false;
  bool finished_ = false;
  bool broken_ = false;
  bool request_ended_ = false;
  bool close_wanted_ = false;
  bool close_announced_ = false;
  bool until_close_ = false;  ///< The answer's body ends with the connection (HTTP/1.0).
};

struct HttpServerOptions {
  std::uint32_t max_header_bytes = 16384;
  Duration header_timeout = seconds(10);
  Duration idle_timeout = seconds(60);
  /// Sent on connections at rest when the server closes: an answer to whatever request is under
  /// way there, which will not be read. Empty for no such answer.
  std::string farewell;
};

/// Listens on one address. Limits may be changed while it runs.
class StreamHttpServer {
 public:
  using Factory = std::function<void(const std::shared_ptr<ServerExchange>&)>;

  StreamHttpServer(EventLoop& loop, Endpoint endpoint, HttpServerOptions options, Factory factory);
  ~StreamHttpServer();

  /// Nothing on success, else why it cannot listen.
  std::optional<std::string> start();
  void setOptions(const HttpServerOptions& options) { options_ = options; }
  [[nodiscard]] const HttpServerOptions& options() const { return options_; }
  /// From now on every answer ends its connection when no other request has begun on it.
  void drain() { draining_ = true; }
  [[nodiscard]] bool draining() const { return draining_; }
  /// Takes what has arrived already and nothing else: closes the listener and the connections at
  /// rest; each other connection ends with its last answer. Call drain() some time before.
  void close();
  [[nodiscard]] bool closed() const { return closed_; }
  /// Whether connections should end with their next answer.
  [[nodiscard]] bool shouldClose() const { return draining_ || loop_.sockets().is_scarce(); }
  /// Requests that are not answered yet.
  [[nodiscard]] std::size_t underWay() const { return under_way_; }
  /// Connections that stand, those included that only wait for the peer to read their last bytes.
  [[nodiscard]] std::size_t connections() const { return *standing_; }

 private:
  friend class HttpServerConnection;
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void sweep();

  EventLoop& loop_;
  HttpServerOptions options_;
  Factory factory_;
  TcpListener listener_;
  LoopTimer sweep_timer_;
  std::set<std::shared_ptr<HttpServerConnection>> connections_;
  std::size_t under_way_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  /// Connections may outlive the server for a moment.
  std::shared_ptr<std::size_t> standing_ = std::make_shared<std::size_t>(0);
  bool draining_ = false;
  bool closed_ = false;
};

}  // namespace ramppond
