// One TCP connection on the event loop: bounded buffers, back-pressure and ends told apart.
//
// Bytes written within one turn of the loop leave in one system call. A subclass is given what
// arrives, and how the connection ended.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "common/settings.h"
#include "net/stream/event_loop.h"

namespace ramppond {

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kClosedByPeer,  ///< An orderly end of what the peer sends.
  kBroken,        ///< Reset, timed out, or another error.
};

/// Why a connection could not be made.
enum class ConnectFailure : std::uint8_t {
  kNoSocket,  ///< This process has no socket left for it; says nothing about the peer.
  kTimedOut,  ///< The peer said nothing.
  kRefused,   ///< Nobody listens there, or what listens takes no more.
};

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  explicit TcpConnection(EventLoop& loop);
  TcpConnection(EventLoop& loop, boost::asio::ip::tcp::socket socket);
  virtual ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /// Bytes that wait for the peer to read; above this a writer should pause.
  static constexpr std::size_t kHighWaterBytes = 65536;

  void write(std::string_view bytes);
  [[nodiscard]] std::size_t unsent() const { return output_.size() - sent_; }
  [[nodiscard]] bool congested() const { return unsent() > kHighWaterBytes; }
  void pauseReading();
  void resumeReading();
  /// Sends what is buffered, then ends; what still arrives is thrown away for a while, so that
  /// the peer can read the last bytes before a reset (RFC 9112, 9.6).
  void closeGracefully();
  /// Ends at once, by a reset if `reset` is true.
  void abort(bool reset);
  /// How long sent bytes may stay unacknowledged before the connection counts as broken.
  void setUserTimeout(Duration timeout);
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool closing() const { return closing_ || closed_; }
  /// Whether nothing more can be sent, although what the peer has sent may still arrive.
  [[nodiscard]] bool writeFailed() const { return write_failed_; }
  /// Whether bytes, the end of the peer's bytes or an error wait to be read. Asks the system, so
  /// that an event which the loop has not handled yet is known; reads nothing.
  [[nodiscard]] bool hasUnreadInput();

 protected:
  /// Begins to read; call once the object is held by a shared_ptr and connected.
  void startReading();
  /// Reads at once what has arrived; onData() or onEnd() may follow before it returns.
  void readArrived();
  /// Connects; onConnected() or onConnectFailed() follows.
  void connect(const Endpoint& endpoint, Duration timeout);

  virtual void onConnected() {}
  virtual void onConnectFailed(ConnectFailure /*failure*/) {}
  virtual void onData(std::string_view bytes) = 0;
  /// Called at most once, and not after abort() or closeGracefully().
  virtual void onEnd(ConnectionEnd end) = 0;
  /// The output has fallen from above the high-water mark to below it.
  virtual void onDrained() {}
  /// Whether a connection that can no longer be written to, and whose reading is paused, stays
  /// until reading resumes, so that the bytes that came before the failure still arrive. Otherwise
  /// it ends at once.
  [[nodiscard]] virtual bool keepsUnreadBytes() const { return false; }
  EventLoop& loop() { return loop_; }

 private:
  void applySocketOptions();
  void waitReadable();
  void readSome();
  void finishReading(ConnectionEnd end);
  void scheduleFlush();
  void flush();
  void onWriteFailed(const boost::system::error_code& error);
  void waitWritable();
  void afterFlush();
  void closeSocket();
  void countSocket();
  void uncountSocket();

  EventLoop& loop_;
  boost::asio::ip::tcp::socket socket_;
  LoopTimer timer_;
  Duration user_timeout_ = seconds(4);
  std::string output_;
  std::size_t sent_ = 0;
  bool flush_scheduled_ = false;
  bool waiting_writable_ = false;
  bool waiting_readable_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool connected_ = false;
  bool was_congested_ = false;
  bool closing_ = false;
  bool closed_ = false;
  bool write_failed_ = false;
  bool end_is_broken_ = false;  ///< The end of the incoming bytes is not an orderly one.
  bool counted_ = false;        ///< Among the loop's sockets.
};

}  // namespace ramppond
