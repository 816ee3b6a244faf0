#include "net/stream/http_server.h"

#include <sys/socket.h>

#include <vector>

#include "net/stream/http_status.h"
#include "net/stream/input_buffer.h"

namespace ramppond {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaximumBegun = 32;  ///< Requests begun on one connection at a time.
constexpr std::size_t kMaximumHeldInput = 131072;
constexpr Duration kSweepInterval = seconds(1);

bool startsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool hasSafeMethod(std::string_view input) {
  return startsWith(input, "GET ") || startsWith(input, "HEAD ");
}

}  // namespace

/// One client connection.
class HttpServerConnection : public TcpConnection, public HttpMessageSink {
 public:
  HttpServerConnection(EventLoop& loop, Tcp::socket socket, StreamHttpServer& server)
      : TcpConnection(loop, std::move(socket)), server_(server), standing_(server.standing_) {
    *standing_ += 1;
  }
  ~HttpServerConnection() override { *standing_ -= 1; }

  void start() {
    last_use_ = EventLoop::now();
    startReading();
  }
  void sweep(TimePoint now);
  /// Reads what has arrived; if no request has begun then, says farewell and ends.
  void closeAtRest();
  void detachAll();
  /// Ends the connection at once. An answer that is under way and whose end the client would take
  /// from the end of the connection is cut by a reset.
  void abortUnfinished();
  void onExchangeFinished();
  void respondError(int status);
  StreamHttpServer& server() { return server_; }
  void pauseBody() { pauseReading(); }
  void resumeBody() { resumeReading(); }
  [[nodiscard]] bool lastBegun(const ServerExchange* exchange) const {
    return !exchanges_.empty() && exchanges_.back().get() == exchange && input_.empty();
  }
  void stopTakingRequests() { taking_ = false; }

 private:
  void onData(std::string_view bytes) override;
  void onEnd(ConnectionEnd end) override;
  void onDrained() override;
  void onMessageHead(HttpHead head) override;
  void onMessageBody(std::string_view data) override;
  std::size_t consume(std::string_view bytes);
  void onRequestComplete();
  /// Gives up the request that is arriving.
  void dropReceiving();
  void endWithError();
  [[nodiscard]] bool mayBegin(std::string_view input) const;
  void advance();
  void unregister();
  [[nodiscard]] bool atRest() const {
    return exchanges_.empty() && parser_ == nullptr && input_.empty();
  }

  StreamHttpServer& server_;
  std::shared_ptr<std::size_t> standing_;  ///< Of the server.
  std::unique_ptr<HttpParser> parser_;
  std::shared_ptr<ServerExchange> receiving_;  ///< Its request is still arriving.
  std::deque<std::shared_ptr<ServerExchange>> exchanges_;
  InputBuffer input_;
  std::optional<int> error_status_;  ///< Answered once all requests before the error are answered.
  TimePoint last_use_{0};
  TimePoint head_since_{0};
  bool taking_ = true;
  bool advancing_ = false;
  bool parsing_ = false;
};

void HttpServerConnection::onData(std::string_view bytes) {
  if (!taking_) {
    return;  // Behind a closing answer: not read.
  }
  last_use_ = EventLoop::now();
  if (!input_.empty() || parsing_) {
    input_.append(bytes);
    bytes = std::string_view();
  } else {
    const std::size_t used = consume(bytes);
    if (closing() || !taking_) {
      return;
    }
    input_.append(bytes.substr(std::min(used, bytes.size())));
  }
  if (!input_.empty()) {
    advance();
  }
  if (input_.size() > kMaximumHeldInput) {
    pauseReading();
  }
}

bool HttpServerConnection::mayBegin(std::string_view input) const {
  if (exchanges_.empty()) {
    return true;
  }
  return exchanges_.size() < kMaximumBegun && hasSafeMethod(input);
}

// Parses as many requests as may begin now. Returns the bytes used.
std::size_t HttpServerConnection::consume(std::string_view bytes) {
  std::size_t used = 0;
  parsing_ = true;
  while (used < bytes.size() && taking_ && !closing()) {
    const std::string_view rest = bytes.substr(used);
    if (parser_ == nullptr) {
      if (!mayBegin(rest)) {
        break;
      }
      parser_ = std::make_unique<HttpParser>(HttpParser::Side::kRequests,
                                             server_.options().max_header_bytes, *this);
      head_since_ = EventLoop::now();
    }
    const ParseStep step = parser_->parse(rest);
    used += step.consumed;
    if (step.state == ParseState::kInvalid || step.state == ParseState::kTooLarge) {
      const bool large_head = step.state == ParseState::kTooLarge && !parser_->headDone();
      respondError(large_head ? kHeadTooLarge : kBadRequest);
      break;
    }
    if (step.state == ParseState::kIncomplete) {
      break;
    }
    parser_.reset();
    onRequestComplete();
  }
  parsing_ = false;
  return used;
}

void HttpServerConnection::onMessageHead(HttpHead head) {
  const bool wants_continue = head.find("Expect") != nullptr && !head.http_1_0;
  auto exchange = std::make_shared<ServerExchange>(*this, std::move(head));
  exchange->first_ = exchanges_.empty();
  exchanges_.push_back(exchange);
  server_.under_way_ += 1;
  receiving_ = exchange;
  if (wants_continue && exchange->first_) {
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  server_.factory_(exchange);
}

void HttpServerConnection::onMessageBody(std::string_view data) {
  const auto exchange = receiving_;
  if (exchange != nullptr && exchange->handler_ != nullptr && !exchange->finished_) {
    exchange->handler_->onRequestBody(data);
  }
}

void HttpServerConnection::onRequestComplete() {
  const auto exchange = std::exchange(receiving_, nullptr);
  if (exchange == nullptr) {
    return;
  }
  exchange->request_ended_ = true;
  const auto handler = exchange->handler_;
  if (handler != nullptr && !exchange->finished_) {
    handler->onRequestEnd();
  }
  onExchangeFinished();
}

// Lets finished answers leave in order and begins requests that waited for their turn.
void HttpServerConnection::onExchangeFinished() {
  if (advancing_) {
    return;
  }
  advancing_ = true;
  while (!exchanges_.empty() && !closing()) {
    const auto front = exchanges_.front();
    if (!front->first_) {
      front->first_ = true;
      write(std::exchange(front->held_, std::string()));
    }
    if (front->broken_) {
      abort(true);
      detachAll();
      break;
    }
    const bool close = front->close_announced_ || front->until_close_;
    if (!front->finished_ || (!front->request_ended_ && !close)) {
      break;
    }
    exchanges_.pop_front();
    server_.under_way_ -= 1;
    front->connection_ = nullptr;
    front->handler_.reset();
    last_use_ = EventLoop::now();
    if (close) {
      taking_ = false;
      detachAll();
      closeGracefully();
      unregister();
      break;
    }
  }
  advancing_ = false;
  if (error_status_ && exchanges_.empty() && !closing()) {
    endWithError();
  } else if (!input_.empty() && !parsing_ && !closing()) {
    loop().post([this, self = shared_from_this()] { advance(); });
  } else if (server_.closed() && !parsing_) {
    closeAtRest();
  }
}

void HttpServerConnection::closeAtRest() {
  if (closing() || !atRest()) {
    return;
  }
  const auto self = shared_from_this();
  readArrived();
  if (closing() || !atRest()) {
    return;
  }
  taking_ = false;
  write(server_.options().farewell);
  closeGracefully();
  unregister();
}

void HttpServerConnection::advance() {
  if (closing() || parsing_ || input_.empty()) {
    return;
  }
  InputBuffer input = std::exchange(input_, InputBuffer());
  input.consume(std::min(consume(input.view()), input.size()));
  input.append(input_.view());
  input_ = taking_ ? std::move(input) : InputBuffer();
  if (input_.size() <= kMaximumHeldInput) {
    resumeReading();
  }
}

// The requests before the malformed one are answered first; what follows it is not read. An answer
// to the malformed request itself that has begun is cut off.
void HttpServerConnection::respondError(int status) {
  taking_ = false;
  parser_.reset();
  const auto malformed = receiving_;
  if (malformed != nullptr && malformed->first_ && malformed->head_sent_) {
    abort(true);
    detachAll();
    return;
  }
  dropReceiving();
  error_status_ = status;
  if (exchanges_.empty()) {
    endWithError();
  }
}

void HttpServerConnection::dropReceiving() {
  const auto exchange = std::exchange(receiving_, nullptr);
  if (exchange == nullptr) {
    return;
  }
  exchanges_.pop_back();
  server_.under_way_ -= 1;
  exchange->connection_ = nullptr;
  const auto handler = std::exchange(exchange->handler_, nullptr);
  if (handler != nullptr) {
    handler->onClientGone();
  }
}

void HttpServerConnection::endWithError() {
  HttpHead head;
  head.status = *std::exchange(error_status_, std::nullopt);
  head.content_length = 0;
  write(responseHeadBytes(head, BodyFraming::kLength, true));
  closeGracefully();
  unregister();
}

void HttpServerConnection::detachAll() {
  const auto exchanges = std::exchange(exchanges_, {});
  receiving_.reset();
  for (const auto& exchange : exchanges) {
    server_.under_way_ -= 1;
    exchange->connection_ = nullptr;
    const auto handler = std::exchange(exchange->handler_, nullptr);
    if (handler != nullptr) {
      handler->onClientGone();
    }
  }
  unregister();
}

void HttpServerConnection::unregister() {
  const auto self = std::static_pointer_cast<HttpServerConnection>(shared_from_this());
  loop().post([self, server_alive = server_.alive_] {
    if (*server_alive) {
      self->server_.connections_.erase(self);
    }
  });
}

void HttpServerConnection::abortUnfinished() {
  abort(!exchanges_.empty() && exchanges_.front()->until_close_);
}

void HttpServerConnection::onEnd(ConnectionEnd /*end*/) {
  abortUnfinished();
  detachAll();
}

void HttpServerConnection::onDrained() {
  if (exchanges_.empty()) {
    return;
  }
  const auto handler = exchanges_.front()->handler_;
  if (handler != nullptr) {
    handler->onResponseDrained();
  }
}

void HttpServerConnection::sweep(TimePoint now) {
  const HttpServerOptions& options = server_.options();
  const bool head_late =
      parser_ != nullptr && !parser_->headDone() && now - head_since_ > options.header_timeout;
  const bool idle = atRest() && now - last_use_ > options.idle_timeout;
  if (head_late) {
    respondError(kRequestTimeout);
  } else if (idle) {
    closeGracefully();
    unregister();
  } else if (server_.closed()) {
    closeAtRest();
  }
}

ServerExchange::ServerExchange(HttpServerConnection& connection, HttpHead request)
    : connection_(&connection), request_(std::move(request)) {}

bool ServerExchange::hasBody() const {
  return request_.chunked || request_.content_length.value_or(0) > 0;
}

void ServerExchange::put(std::string_view bytes) {
  if (first_) {
    connection_->write(bytes);
  } else {
    held_.append(bytes);
  }
}

void ServerExchange::sendInterim(int status) {
  if (over() || head_sent_) {
    return;
  }
  HttpHead head;
  head.status = status;
  put(responseHeadBytes(head, BodyFraming::kNone, false));
}

void ServerExchange::sendHead(const HttpHead& head, BodyFraming framing) {
  if (over() || head_sent_) {
    return;
  }
  head_sent_ = true;
  framing_ = framing;
  if (request_.http_1_0 && framing == BodyFraming::kChunked) {
    framing_ = BodyFraming::kNone;
    until_close_ = true;
  }
  const bool last = connection_->lastBegun(this);
  const bool draining = close_wanted_ || connection_->server().shouldClose();
  close_announced_ = until_close_ || !request_.keep_alive || (draining && last);
  if (close_announced_) {
    connection_->stopTakingRequests();
  }
  put(responseHeadBytes(head, framing_, close_announced_));
}

void ServerExchange::sendBody(std::string_view data) {
  if (over() || data.empty() || equalNames(request_.method, "HEAD")) {
    return;
  }
  if (framing_ == BodyFraming::kChunked) {
    put(chunkBytes(data));
  } else {
    put(data);
  }
}

void ServerExchange::finish() {
  if (over()) {
    return;
  }
  if (framing_ == BodyFraming::kChunked && !equalNames(request_.method, "HEAD")) {
    put(kLastChunk);
  }
  finished_ = true;
  connection_->onExchangeFinished();
}

void ServerExchange::respond(HttpHead head, std::string_view body) {
  if (head_sent_) {
    breakOff();
    return;
  }
  head.content_length = body.size();
  sendHead(head, BodyFraming::kLength);
  sendBody(body);
  finish();
}

void ServerExchange::breakOff() {
  if (over()) {
    return;
  }
  broken_ = true;
  connection_->onExchangeFinished();
}

bool ServerExchange::congested() const {
  if (connection_ == nullptr) {
    return false;
  }
  return first_ ? connection_->congested() : held_.size() > TcpConnection::kHighWaterBytes;
}

void ServerExchange::pauseRequestBody() {
  if (connection_ != nullptr) {
    connection_->pauseBody();
  }
}

void ServerExchange::resumeRequestBody() {
  if (connection_ != nullptr) {
    connection_->resumeBody();
  }
}

StreamHttpServer::StreamHttpServer(EventLoop& loop, Endpoint endpoint, HttpServerOptions options,
                                   Factory factory)
    : loop_(loop),
      options_(std::move(options)),
      factory_(std::move(factory)),
      listener_(loop, std::move(endpoint),
                [this](Tcp::socket socket) { onAccepted(std::move(socket)); }),
      sweep_timer_(loop) {}

StreamHttpServer::~StreamHttpServer() {
  *alive_ = false;
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) {
    connection->abortUnfinished();
    connection->detachAll();
  }
}

std::optional<std::string> StreamHttpServer::start() {
  if (auto error = listener_.start()) {
    return error;
  }
  sweep();
  return std::nullopt;
}

void StreamHttpServer::close() {
  if (closed_) {
    return;
  }
  listener_.stop();
  closed_ = true;
  const std::vector<std::shared_ptr<HttpServerConnection>> present(connections_.begin(),
                                                                   connections_.end());
  for (const auto& connection : present) {
    connection->closeAtRest();
  }
}

void StreamHttpServer::onAccepted(Tcp::socket socket) {
  const auto connection = std::make_shared<HttpServerConnection>(loop_, std::move(socket), *this);
  connections_.insert(connection);
  connection->start();
}

void StreamHttpServer::sweep() {
  const TimePoint now = EventLoop::now();
  const std::vector<std::shared_ptr<HttpServerConnection>> present(connections_.begin(),
                                                                   connections_.end());
  for (const auto& connection : present) {
    connection->sweep(now);
  }
  sweep_timer_.after(kSweepInterval, [this] { sweep(); });
}

}  // namespace ramppond
