#include "net/stream/tcp_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace ramppond {
namespace {

using Tcp = boost::asio::ip::tcp;

// A peer whose machine is gone says nothing: unanswered probes end the connection.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// After the last bytes were sent, what the peer still sends is thrown away for this long.
constexpr Duration kLingerTime = seconds(1);
// Output that was sent is dropped from the front of the buffer in steps of this size.
constexpr std::size_t kCompactBytes = 65536;

void setOption(int socket, int level, int name, int value) {
  static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

}  // namespace

TcpConnection::TcpConnection(EventLoop& loop)
    : loop_(loop), socket_(loop.context()), timer_(loop) {}

TcpConnection::TcpConnection(EventLoop& loop, Tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)), timer_(loop), connected_(true) {
  countSocket();
  applySocketOptions();
}

TcpConnection::~TcpConnection() {
  uncountSocket();
}

void TcpConnection::countSocket() {
  counted_ = true;
  loop_.sockets().on_opened();
}

void TcpConnection::uncountSocket() {
  if (counted_) {
    counted_ = false;
    loop_.sockets().on_closed();
  }
}

void TcpConnection::applySocketOptions() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  const int handle = socket_.native_handle();
  setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout_.count() / 1000));
  setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void TcpConnection::setUserTimeout(Duration timeout) {
  user_timeout_ = timeout;
  if (connected_ && !closed_) {
    applySocketOptions();
  }
}

void TcpConnection::connect(const Endpoint& endpoint, Duration timeout) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(endpoint.host, error);
  const bool exhausted = loop_.sockets().is_exhausted();
  if (!error && !exhausted) {
    socket_.open(Tcp::v4(), error);
  }
  if (error || exhausted) {
    closed_ = true;
    loop_.post([self = shared_from_this()] { self->onConnectFailed(ConnectFailure::kNoSocket); });
    return;
  }
  countSocket();
  applySocketOptions();
  timer_.after(timeout, [this] {
    closeSocket();
    onConnectFailed(ConnectFailure::kTimedOut);
  });
  socket_.async_connect(
      Tcp::endpoint(address, endpoint.port),
      [this, self = shared_from_this()](const boost::system::error_code& failure) {
        if (closed_) {
          return;
        }
        timer_.cancel();
        if (failure) {
          closeSocket();
          onConnectFailed(ConnectFailure::kRefused);
          return;
        }
        connected_ = true;
        onConnected();
        if (unsent() > 0) {
          scheduleFlush();  // Written before there was a connection.
        }
      });
}

void TcpConnection::startReading() {
  reading_ = true;
  waitReadable();
}

void TcpConnection::readArrived() {
  if (!reading_ || paused_ || closed_) {
    return;
  }
  boost::system::error_code error;
  if (socket_.available(error) > 0 && !error) {
    readSome();
  }
}

bool TcpConnection::hasUnreadInput() {
  if (closed_ || !connected_) {
    return false;
  }
  char byte = 0;
  const ssize_t size = ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EINTR);
}

void TcpConnection::pauseReading() {
  paused_ = true;
}

void TcpConnection::resumeReading() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  if (reading_ && !closed_) {
    waitReadable();
  }
}

void TcpConnection::waitReadable() {
  if (waiting_readable_ || paused_ || closed_) {
    return;
  }
  waiting_readable_ = true;
  socket_.async_wait(Tcp::socket::wait_read,
                     [this, self = shared_from_this()](const boost::system::error_code& error) {
                       waiting_readable_ = false;
                       if (closed_ || paused_) {
                         return;
                       }
                       if (error) {
                         finishReading(ConnectionEnd::kBroken);
                         return;
                       }
                       readSome();
                     });
}

void TcpConnection::readSome() {
  auto& scratch = loop_.scratch();
  boost::system::error_code error;
  const std::size_t size = socket_.read_some(boost::asio::buffer(scratch), error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::interrupted) {
    waitReadable();
    return;
  }
  if (error) {
    const bool orderly = error == boost::asio::error::eof && !end_is_broken_;
    finishReading(orderly ? ConnectionEnd::kClosedByPeer : ConnectionEnd::kBroken);
    return;
  }
  if (!closing_) {
    onData(std::string_view(scratch.data(), size));
  }
  waitReadable();
}

void TcpConnection::finishReading(ConnectionEnd end) {
  const bool tell = !closing_;
  reading_ = false;
  if (closing_) {
    closeSocket();
    return;
  }
  if (end == ConnectionEnd::kBroken) {
    closeSocket();
  }
  if (tell) {
    onEnd(end);
  }
}

void TcpConnection::write(std::string_view bytes) {
  if (closing_ || closed_ || write_failed_) {
    return;
  }
  output_.append(bytes);
  scheduleFlush();
}

void TcpConnection::scheduleFlush() {
  if (flush_scheduled_ || waiting_writable_ || !connected_) {
    return;
  }
  flush_scheduled_ = true;
  loop_.post([this, self = shared_from_this()] {
    flush_scheduled_ = false;
    flush();
  });
}

void TcpConnection::flush() {
  if (closed_ || waiting_writable_) {
    return;
  }
  was_congested_ = was_congested_ || congested();
  while (unsent() > 0) {
    boost::system::error_code error;
    const std::size_t size =
        socket_.write_some(boost::asio::buffer(output_.data() + sent_, unsent()), error);
    if (error == boost::asio::error::would_block) {
      waitWritable();
      break;
    }
    if (error) {
      onWriteFailed(error);
      return;
    }
    sent_ += size;
  }
  afterFlush();
}

// What the peer sent before the failure may still be there to read: the reading side tells the end.
// The failed write has taken the error from the socket, so that a read after the last byte returns
// an end of file whether the peer closed in order or not. Only EPIPE says that it did: the system
// reports a reset so if the end of the peer's bytes had come before it.
void TcpConnection::onWriteFailed(const boost::system::error_code& error) {
  output_.clear();
  sent_ = 0;
  write_failed_ = true;
  end_is_broken_ = error != boost::asio::error::broken_pipe;
  const bool reads_on = reading_ && !closing_ && (!paused_ || keepsUnreadBytes());
  if (reads_on) {
    return;
  }
  const bool tell = !closing_;
  closeSocket();
  if (tell) {
    onEnd(ConnectionEnd::kBroken);
  }
}

void TcpConnection::afterFlush() {
  if (unsent() == 0) {
    output_.clear();
    sent_ = 0;
    if (output_.capacity() > kCompactBytes) {
      output_.shrink_to_fit();
    }
  } else if (sent_ >= kCompactBytes) {
    output_.erase(0, sent_);
    sent_ = 0;
  }
  if (closing_ && unsent() == 0) {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    timer_.after(kLingerTime, [this, self = shared_from_this()] { closeSocket(); });
    if (!reading_) {
      closeSocket();
      return;
    }
    resumeReading();
    return;
  }
  if (was_congested_ && !congested()) {
    was_congested_ = false;
    onDrained();
  }
}

void TcpConnection::waitWritable() {
  waiting_writable_ = true;
  socket_.async_wait(Tcp::socket::wait_write,
                     [this, self = shared_from_this()](const boost::system::error_code&) {
                       waiting_writable_ = false;
                       flush();
                     });
}

void TcpConnection::closeGracefully() {
  if (closing_ || closed_) {
    return;
  }
  closing_ = true;
  if (!connected_) {
    closeSocket();
    return;
  }
  if (!flush_scheduled_ && !waiting_writable_) {
    flush_scheduled_ = true;
    loop_.post([this, self = shared_from_this()] {
      flush_scheduled_ = false;
      flush();
    });
  }
}

void TcpConnection::abort(bool reset) {
  if (closed_) {
    return;
  }
  if (reset && connected_) {
    const linger option = {1, 0};
    static_cast<void>(
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option));
  }
  closing_ = true;
  closeSocket();
}

void TcpConnection::closeSocket() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  uncountSocket();
}

}  // namespace ramppond
