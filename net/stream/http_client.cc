#include "net/stream/http_client.h"

#include <algorithm>
#include <vector>

#include "net/stream/http_status.h"
#include "net/stream/input_buffer.h"

namespace ramppond {
namespace {

constexpr std::uint32_t kMaximumHeadBytes = 65536;
// What may come on a connection before the own answer; a peer that sends more is not about to
// answer.
constexpr std::uint32_t kMaximumSurplus = 4;
constexpr std::uint32_t kMaximumInterim = 32;
constexpr std::uint64_t kMaximumSurplusBytes = 4U << 20U;  ///< Of all surplus answers together.
// Closes this long before the peer would, so that a request does not cross its close.
constexpr Duration kIdleMargin = milliseconds(1500);

// Seconds of "timeout=N" in a Keep-Alive field.
std::optional<Duration> keepAliveTimeout(const std::string* value) {
  constexpr std::string_view kKey = "timeout=";
  const std::size_t position = value == nullptr ? std::string::npos : value->find(kKey);
  if (position == std::string::npos) {
    return std::nullopt;
  }
  return seconds(std::strtoll(value->c_str() + position + kKey.size(), nullptr, 10));
}

}  // namespace

/// One connection of a pool.
class HttpClientConnection : public TcpConnection, public HttpMessageSink {
 public:
  HttpClientConnection(EventLoop& loop, HttpClientPool& pool, std::shared_ptr<bool> pool_alive)
      : TcpConnection(loop), pool_(pool), pool_alive_(std::move(pool_alive)) {
    pool_.open_ += 1;
  }
  ~HttpClientConnection() override { leavePool(); }

  void open(const std::shared_ptr<ClientExchange>& exchange, const HttpClientOptions& options) {
    exchange_ = exchange;
    setUserTimeout(options.user_timeout);
    connect(options.endpoint, options.connect_timeout);
  }
  void begin(const std::shared_ptr<ClientExchange>& exchange);
  void end();
  void leavePool() {
    if (in_pool_ && *pool_alive_) {
      pool_.open_ -= 1;
      pool_.established_ -= established_ ? 1 : 0;
    }
    in_pool_ = false;
  }

 private:
  void onConnected() override;
  void onConnectFailed(ConnectFailure failure) override;
  void onData(std::string_view bytes) override;
  void onEnd(ConnectionEnd end) override;
  void onDrained() override;
  // The peer may have sent its whole answer before it stopped reading the request.
  [[nodiscard]] bool keepsUnreadBytes() const override { return exchange_ != nullptr; }
  void onMessageHead(HttpHead head) override;
  void onMessageBody(std::string_view data) override;
  std::optional<std::size_t> parse(std::string_view bytes);
  void onInterimHead(int status);
  void onSurplusHead(const HttpHead& head);
  bool onMessageComplete();
  void fail(ClientFailure failure);
  void newParser();
  [[nodiscard]] std::shared_ptr<ClientHandler> handler() const {
    return exchange_ == nullptr ? nullptr : exchange_->handler_.lock();
  }

  HttpClientPool& pool_;
  std::shared_ptr<bool> pool_alive_;
  bool in_pool_ = true;
  bool established_ = false;
  std::shared_ptr<ClientExchange> exchange_;
  std::unique_ptr<HttpParser> parser_;
  InputBuffer input_;
  bool head_told_ = false;  ///< Of the own answer.
  bool interim_ = false;    ///< A 1xx answer, to be passed over.
  bool surplus_ = false;    ///< An answer to another request, to be passed over.
  bool invalid_ = false;
  bool reusable_ = true;
  bool peer_keeps_ = true;
  std::uint32_t interim_seen_ = 0;  ///< For the request under way.
  std::uint32_t surplus_seen_ = 0;
  std::uint64_t surplus_bytes_ = 0;
  Duration keep_{0};
};

void HttpClientConnection::newParser() {
  parser_ = std::make_unique<HttpParser>(HttpParser::Side::kResponses, kMaximumHeadBytes, *this);
  if (exchange_->no_response_body_) {
    parser_->expectNoBody();
  }
}

void HttpClientConnection::begin(const std::shared_ptr<ClientExchange>& exchange) {
  exchange_ = exchange;
  exchange->connection_ = std::static_pointer_cast<HttpClientConnection>(shared_from_this());
  head_told_ = false;
  interim_seen_ = 0;
  newParser();
  exchange->sent_ = true;
  write(std::exchange(exchange->head_bytes_, std::string()));
}

void HttpClientConnection::onConnected() {
  if (exchange_ == nullptr) {
    abort(false);
    return;
  }
  if (in_pool_ && *pool_alive_) {
    established_ = true;
    pool_.established_ += 1;
  }
  begin(exchange_);
  startReading();
}

void HttpClientConnection::onConnectFailed(ConnectFailure failure) {
  leavePool();
  switch (failure) {
    case ConnectFailure::kNoSocket:
      fail(ClientFailure::kNoSocket);
      return;
    case ConnectFailure::kTimedOut:
      fail(ClientFailure::kNotConnected);
      return;
    case ConnectFailure::kRefused:
      fail(ClientFailure::kRefused);
      return;
  }
}

void HttpClientConnection::onData(std::string_view bytes) {
  if (exchange_ == nullptr) {
    if (*pool_alive_) {
      pool_.counters_.surplus_bytes += 1;
      pool_.forget(this);
    }
    abort(false);
    leavePool();
    return;
  }
  const auto self = shared_from_this();
  const bool buffered = !input_.empty();
  if (buffered) {
    input_.append(bytes);
  }
  const std::optional<std::size_t> used = parse(buffered ? input_.view() : bytes);
  if (!used) {
    return;
  }
  if (buffered) {
    input_.consume(*used);
  } else {
    input_.append(bytes.substr(*used));
  }
}

// Returns the number of bytes used while the own answer is awaited, or nothing once it has ended.
std::optional<std::size_t> HttpClientConnection::parse(std::string_view bytes) {
  std::size_t used = 0;
  bool whole = false;
  while (exchange_ != nullptr && used < bytes.size() && !whole) {
    const ParseStep step = parser_->parse(bytes.substr(used));
    used += step.consumed;
    if (exchange_ == nullptr) {
      return std::nullopt;  // Cancelled by what it was told.
    }
    surplus_bytes_ += surplus_ ? step.consumed : 0;
    invalid_ = invalid_ || surplus_bytes_ > kMaximumSurplusBytes;
    if (invalid_ || step.state == ParseState::kInvalid || step.state == ParseState::kTooLarge) {
      fail(head_told_ ? ClientFailure::kBrokenAnswer : ClientFailure::kInvalidAnswer);
      return std::nullopt;
    }
    if (step.state == ParseState::kIncomplete) {
      return used;
    }
    whole = onMessageComplete();
  }
  if (!whole) {
    return used;  // What came so far were other answers; the own one is still awaited.
  }
  // Bytes behind a whole answer belong to no request.
  if (used < bytes.size()) {
    reusable_ = false;
    if (*pool_alive_) {
      pool_.counters_.surplus_bytes += 1;
    }
  }
  if (exchange_ != nullptr) {
    end();
  }
  return std::nullopt;
}

void HttpClientConnection::onMessageHead(HttpHead head) {
  interim_ = head.status < kFirstFinalStatus;
  surplus_ = false;
  if (exchange_ == nullptr) {
    return;
  }
  if (interim_) {
    onInterimHead(head.status);
    return;
  }
  const auto& options = pool_.options();
  if (!exchange_->request_id_.empty()) {
    const std::string* echoed = head.find(options.id_header);
    const bool farewell =
        !options.farewell_header.empty() && head.find(options.farewell_header) != nullptr;
    if (echoed == nullptr && !farewell) {
      invalid_ = true;
      return;
    }
    if (!farewell && *echoed != exchange_->request_id_) {
      onSurplusHead(head);
      return;
    }
  }
  peer_keeps_ = head.keep_alive;
  keep_ = keepAliveTimeout(head.find("Keep-Alive")).value_or(options.idle_timeout + kIdleMargin);
  head_told_ = true;
  const auto told = handler();
  if (told != nullptr) {
    told->onResponseHead(std::move(head));
  }
}

void HttpClientConnection::onInterimHead(int status) {
  interim_seen_ += 1;
  invalid_ = interim_seen_ > kMaximumInterim;
  const auto told = handler();
  if (told != nullptr && !invalid_) {
    told->onInterim(status);
  }
}

void HttpClientConnection::onSurplusHead(const HttpHead& head) {
  surplus_ = true;
  reusable_ = false;
  surplus_seen_ += 1;
  invalid_ = surplus_seen_ > kMaximumSurplus || !head.keep_alive;
  // A stated length tells at once that the rest of the answer will not be read.
  invalid_ = invalid_ || head.content_length.value_or(0) > kMaximumSurplusBytes;
  if (*pool_alive_) {
    pool_.counters_.surplus_answers += 1;
  }
}

void HttpClientConnection::onMessageBody(std::string_view data) {
  if (surplus_ || interim_ || invalid_) {
    return;
  }
  const auto told = handler();
  if (told != nullptr) {
    told->onResponseBody(data);
  }
}

// Returns whether the own answer has ended.
bool HttpClientConnection::onMessageComplete() {
  if (!interim_ && !surplus_) {
    return true;
  }
  newParser();
  return false;
}

// The own answer is whole: tells it and gives the connection back.
void HttpClientConnection::end() {
  const auto self = std::static_pointer_cast<HttpClientConnection>(shared_from_this());
  const auto exchange = std::exchange(exchange_, nullptr);
  const auto told = exchange->handler_.lock();
  const bool whole_request = exchange->body_finished_;
  exchange->connection_.reset();
  parser_.reset();
  input_.clear();
  const bool usable = reusable_ && peer_keeps_ && !writeFailed() && !closing();
  if (usable && whole_request && *pool_alive_) {
    resumeReading();
    pool_.release(self, keep_);
  } else {
    abort(false);
    leavePool();
  }
  if (told != nullptr) {
    told->onResponseEnd();
  }
}

void HttpClientConnection::fail(ClientFailure failure) {
  const auto self = shared_from_this();
  abort(false);
  leavePool();
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange == nullptr) {
    return;
  }
  exchange->connection_.reset();
  const auto told = exchange->handler_.lock();
  if (told != nullptr) {
    told->onRequestFailed(failure);
  }
}

void HttpClientConnection::onEnd(ConnectionEnd end_kind) {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    if (*pool_alive_) {
      pool_.forget(this);
    }
    abort(false);
    leavePool();
    return;
  }
  // A body without a length ends with an orderly close only; a reset leaves it incomplete.
  const bool whole = end_kind == ConnectionEnd::kClosedByPeer && head_told_ && !surplus_ &&
                     parser_->parseEnd() == ParseState::kComplete;
  if (whole) {
    reusable_ = false;
    end();
    return;
  }
  fail(head_told_ ? ClientFailure::kBrokenAnswer : ClientFailure::kNoAnswer);
}

void HttpClientConnection::onDrained() {
  const auto told = handler();
  if (told != nullptr) {
    told->onRequestDrained();
  }
}

void ClientExchange::sendBody(std::string_view data) {
  if (data.empty() || body_finished_) {
    return;
  }
  const std::string bytes = chunked_ ? chunkBytes(data) : std::string(data);
  if (sent_ && connection_ != nullptr) {
    connection_->write(bytes);
  } else {
    head_bytes_ += bytes;
  }
}

void ClientExchange::finishBody() {
  if (body_finished_) {
    return;
  }
  if (chunked_) {
    if (sent_ && connection_ != nullptr) {
      connection_->write(kLastChunk);
    } else {
      head_bytes_ += kLastChunk;
    }
  }
  body_finished_ = true;
}

void ClientExchange::cancel() {
  handler_.reset();
  const auto connection = std::exchange(connection_, nullptr);
  if (connection != nullptr) {
    connection->abort(false);
    connection->leavePool();
  }
}

void ClientExchange::pauseResponse() {
  if (connection_ != nullptr) {
    connection_->pauseReading();
  }
}

void ClientExchange::resumeResponse() {
  if (connection_ != nullptr) {
    connection_->resumeReading();
  }
}

bool ClientExchange::congested() const {
  return connection_ != nullptr && connection_->congested();
}

HttpClientPool::HttpClientPool(EventLoop& loop, HttpClientOptions options)
    : loop_(loop), options_(std::move(options)) {}

HttpClientPool::~HttpClientPool() {
  *alive_ = false;
  closeIdle();
}

std::shared_ptr<ClientExchange> HttpClientPool::start(
    const HttpHead& head, BodyFraming framing, std::string_view body, bool body_complete,
    const std::shared_ptr<ClientHandler>& handler) {
  auto exchange = std::make_shared<ClientExchange>(handler);
  exchange->chunked_ = framing == BodyFraming::kChunked;
  exchange->no_response_body_ = equalNames(head.method, "HEAD");
  exchange->request_id_ = options_.id_header.empty() ? std::string() : head.get(options_.id_header);
  exchange->head_bytes_ = requestHeadBytes(head, framing);
  exchange->sendBody(body);
  if (body_complete) {
    exchange->finishBody();
  }
  if (const auto connection = takeIdle()) {
    exchange->reused_connection_ = true;
    connection->begin(exchange);
    return exchange;
  }
  counters_.connections_opened += 1;
  auto connection = std::make_shared<HttpClientConnection>(loop_, *this, alive_);
  exchange->connection_ = connection;
  connection->open(exchange, options_);
  return exchange;
}

std::shared_ptr<HttpClientConnection> HttpClientPool::takeIdle() {
  const TimePoint now = EventLoop::now();
  while (!idle_.empty()) {
    const Idle idle = idle_.back();
    idle_.pop_back();
    const bool spoiled = idle.connection->hasUnreadInput();
    if (!spoiled && idle.until > now && !idle.connection->closing()) {
      return idle.connection;
    }
    if (spoiled) {
      idle.connection->abort(false);
    } else {
      idle.connection->closeGracefully();
    }
    idle.connection->leavePool();
  }
  return nullptr;
}

void HttpClientPool::release(const std::shared_ptr<HttpClientConnection>& connection,
                             Duration keep) {
  const bool scarce = loop_.sockets().is_scarce() && !options_.keep_when_scarce;
  if (keep <= kIdleMargin || idle_.size() >= options_.max_idle || scarce) {
    connection->closeGracefully();
    connection->leavePool();
    return;
  }
  idle_.push_back({connection, EventLoop::now() + keep - kIdleMargin});
}

void HttpClientPool::forget(const HttpClientConnection* connection) {
  idle_.erase(std::remove_if(idle_.begin(), idle_.end(),
                             [&](const Idle& idle) { return idle.connection.get() == connection; }),
              idle_.end());
}

void HttpClientPool::sweep() {
  if (loop_.sockets().is_scarce() && !options_.keep_when_scarce) {
    closeIdle();
    return;
  }
  const TimePoint now = EventLoop::now();
  for (auto idle = idle_.begin(); idle != idle_.end();) {
    if (idle->until > now) {
      ++idle;
      continue;
    }
    idle->connection->closeGracefully();
    idle->connection->leavePool();
    idle = idle_.erase(idle);
  }
}

void HttpClientPool::closeIdle() {
  const auto idle = std::exchange(idle_, {});
  for (const Idle& entry : idle) {
    entry.connection->closeGracefully();
    entry.connection->leavePool();
  }
}

}  // namespace ramppond
