#include "net/stream/frame_channel.h"

#include <vector>

namespace ramppond {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kHeadBytes = kLengthBytes + kNumberBytes + 1;
constexpr std::size_t kMaximumUnsent = 8U << 20U;
constexpr Duration kConnectTimeout = milliseconds(500);
// After a cut has healed, a new connection carries bytes sooner than the waiting retransmissions
// of an old one would.
constexpr Duration kUserTimeout = seconds(1);
// Longer than connecting takes between any two regions.
constexpr Duration kConnectingHangs = milliseconds(50);

void appendLittleEndian(std::string& bytes, std::uint64_t value, std::size_t size) {
  for (std::size_t byte = 0; byte < size; ++byte) {
    bytes.push_back(static_cast<char>((value >> (8 * byte)) & 0xFFU));
  }
}

std::uint64_t littleEndian(std::string_view bytes, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t byte = 0; byte < size; ++byte) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
  }
  return value;
}

}  // namespace

std::string encodeFrame(const Frame& frame) {
  std::string bytes;
  bytes.reserve(kHeadBytes + frame.body.size());
  appendLittleEndian(bytes, kNumberBytes + 1 + frame.body.size(), kLengthBytes);
  appendLittleEndian(bytes, frame.number, kNumberBytes);
  bytes.push_back(static_cast<char>(frame.kind));
  bytes += frame.body;
  return bytes;
}

bool FrameReader::feed(std::string_view bytes, const std::function<void(Frame)>& take) {
  input_.append(bytes);
  std::size_t used = 0;
  while (input_.size() - used >= kHeadBytes) {
    const std::string_view rest = std::string_view(input_).substr(used);
    const std::size_t length = littleEndian(rest, kLengthBytes);
    if (length < kNumberBytes + 1 || length > kMaximumFrameBytes) {
      return false;
    }
    if (rest.size() < kLengthBytes + length) {
      break;
    }
    Frame frame;
    frame.number = littleEndian(rest.substr(kLengthBytes), kNumberBytes);
    frame.kind = static_cast<FrameKind>(rest[kLengthBytes + kNumberBytes]);
    frame.body.assign(rest.substr(kHeadBytes, length - kNumberBytes - 1));
    used += kLengthBytes + length;
    take(std::move(frame));
  }
  input_.erase(0, used);
  return true;
}

class FrameServerConnection : public TcpConnection {
 public:
  FrameServerConnection(EventLoop& loop, Tcp::socket socket, FrameServer& server)
      : TcpConnection(loop, std::move(socket)), server_(server) {}
  void start() { startReading(); }
  void drop() { onEnd(ConnectionEnd::kBroken); }
  std::set<FrameToken> tokens;

 private:
  void onData(std::string_view bytes) override {
    const bool valid = reader_.feed(bytes, [this](Frame frame) { onFrame(std::move(frame)); });
    if (!valid) {
      abort(false);
      onEnd(ConnectionEnd::kBroken);
    }
  }
  void onFrame(Frame frame) {
    FrameToken token = 0;
    if (frame.number != 0) {
      token = server_.next_token_++;
      const auto self = std::static_pointer_cast<FrameServerConnection>(shared_from_this());
      server_.waiting_[token] = {self, frame.number};
      tokens.insert(token);
    }
    server_.receive_(token, std::move(frame));
  }
  void onEnd(ConnectionEnd /*end*/) override {
    abort(false);
    const auto lost = std::exchange(tokens, {});
    for (const FrameToken token : lost) {
      server_.waiting_.erase(token);
      server_.gone_(token);
    }
    const auto self = std::static_pointer_cast<FrameServerConnection>(shared_from_this());
    loop().post([self] { self->server_.connections_.erase(self); });
  }

  FrameServer& server_;
  FrameReader reader_;
};

FrameServer::FrameServer(EventLoop& loop, Endpoint endpoint, Receive receive, Gone gone)
    : loop_(loop),
      receive_(std::move(receive)),
      gone_(std::move(gone)),
      listener_(loop, std::move(endpoint),
                [this](Tcp::socket socket) { onAccepted(std::move(socket)); }) {}

FrameServer::~FrameServer() {
  for (const auto& connection : connections_) {
    connection->abort(false);
  }
}

std::optional<std::string> FrameServer::start() {
  return listener_.start();
}

void FrameServer::onAccepted(Tcp::socket socket) {
  const auto connection = std::make_shared<FrameServerConnection>(loop_, std::move(socket), *this);
  connections_.insert(connection);
  connection->start();
}

void FrameServer::answer(FrameToken token, FrameKind kind, std::string body) {
  const auto found = waiting_.find(token);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = found->second;
  waiting_.erase(found);
  const auto connection = waiting.connection.lock();
  if (connection != nullptr) {
    connection->tokens.erase(token);
    connection->write(encodeFrame({waiting.number, kind, std::move(body)}));
  }
}

void FrameServer::dropConnections() {
  const auto dropped = connections_;
  for (const auto& connection : dropped) {
    connection->drop();
  }
}

class FrameClientConnection : public TcpConnection {
 public:
  FrameClientConnection(EventLoop& loop, FrameChannel& channel)
      : TcpConnection(loop), channel_(&channel) {}
  void open(const Endpoint& endpoint) {
    setUserTimeout(kUserTimeout);
    connect(endpoint, kConnectTimeout);
  }
  void detach() { channel_ = nullptr; }
  [[nodiscard]] bool stands() const { return stands_; }

 private:
  void onConnected() override {
    stands_ = true;
    startReading();
  }
  void onConnectFailed(ConnectFailure /*failure*/) override { lost(); }
  void onData(std::string_view bytes) override {
    const bool valid = reader_.feed(bytes, [this](const Frame& frame) {
      if (channel_ != nullptr) {
        channel_->onFrame(frame);
      }
    });
    if (!valid) {
      lost();
    }
  }
  void onEnd(ConnectionEnd /*end*/) override { lost(); }
  void lost() {
    const auto self = shared_from_this();
    abort(false);
    if (channel_ != nullptr) {
      std::exchange(channel_, nullptr)->onLost(this);
    }
  }

  FrameChannel* channel_;
  FrameReader reader_;
  bool stands_ = false;
};

FrameChannel::FrameChannel(EventLoop& loop, Endpoint endpoint)
    : loop_(loop), endpoint_(std::move(endpoint)) {}

FrameChannel::~FrameChannel() {
  if (connection_ != nullptr) {
    connection_->detach();
    connection_->abort(false);
  }
}

FrameClientConnection& FrameChannel::connection() {
  last_used_ = EventLoop::now();
  if (connection_ == nullptr) {
    connection_ = std::make_shared<FrameClientConnection>(loop_, *this);
    opened_at_ = EventLoop::now();
    connection_->open(endpoint_);
  }
  return *connection_;
}

void FrameChannel::request(FrameKind kind, std::string body, Duration timeout, Answer answer) {
  const std::uint64_t number = next_number_++;
  Pending pending;
  pending.answer = std::move(answer);
  pending.timer = std::make_unique<LoopTimer>(loop_);
  pending.timer->after(timeout, [this, number] { onTimeout(number); });
  pending_[number] = std::move(pending);
  connection().write(encodeFrame({number, kind, std::move(body)}));
}

void FrameChannel::post(FrameKind kind, std::string body) {
  FrameClientConnection& open = connection();
  if (open.unsent() < kMaximumUnsent) {
    open.write(encodeFrame({0, kind, std::move(body)}));
  }
}

void FrameChannel::onPeerHeard() {
  const bool hangs = connection_ != nullptr && !connection_->stands() &&
                     EventLoop::now() - opened_at_ >= kConnectingHangs;
  if (hangs) {
    dropConnection();
    onLost(nullptr);
  }
}

void FrameChannel::dropConnection() {
  const auto dropped = std::exchange(connection_, nullptr);
  if (dropped != nullptr) {
    dropped->detach();
    dropped->abort(false);
  }
}

void FrameChannel::onFrame(const Frame& frame) {
  finish(frame.number, frame.body);
}

void FrameChannel::finish(std::uint64_t number, std::optional<std::string> body) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  last_used_ = EventLoop::now();
  const auto pending = std::make_shared<Pending>(std::move(found->second));
  pending_.erase(found);
  pending->timer->cancel();
  pending->answer(std::move(body));
  loop_.post([pending] {});  // Its timer may be the one that is calling.
}

// A peer that does not answer in time may be cut off: the next request opens a new connection.
void FrameChannel::onTimeout(std::uint64_t number) {
  dropConnection();
  finish(number, std::nullopt);
  onLost(nullptr);
}

void FrameChannel::onLost(const FrameClientConnection* lost) {
  if (lost != nullptr && connection_.get() == lost) {
    connection_.reset();
  }
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, pending] : pending_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    finish(number, std::nullopt);
  }
}

}  // namespace ramppond
