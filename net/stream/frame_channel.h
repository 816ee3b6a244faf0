// Messages between ramppond's own processes: frames on kept TCP connections.
//
// A frame is
//   4 bytes  length of what follows, little endian
//   8 bytes  request number, little endian; the answer carries the same one; 0 for none
//   1 byte   FrameKind
//   n bytes  body: one CBOR message
// A frame above kMaximumFrameBytes ends its connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/settings.h"
#include "net/stream/tcp_connection.h"
#include "net/stream/tcp_listener.h"

namespace ramppond {

enum class FrameKind : std::uint8_t {
  kControlRequest = 1,  ///< Body: ControlRequest.
  kControlReply = 2,    ///< Body: ControlReply.
  kRaftMessages = 3,    ///< Body: RaftBatch; never answered.
};

constexpr std::size_t kMaximumFrameBytes = 64U << 20U;

struct Frame {
  std::uint64_t number = 0;
  FrameKind kind = FrameKind::kControlRequest;
  std::string body;
};

std::string encodeFrame(const Frame& frame);

/// Takes frames out of a stream of bytes.
class FrameReader {
 public:
  /// Adds bytes; false if what has come is not a sequence of frames.
  bool feed(std::string_view bytes, const std::function<void(Frame)>& take);

 private:
  std::string input_;
};

/// Names one request that a server waits to answer.
using FrameToken = std::uint64_t;

class FrameServerConnection;

class FrameServer {
 public:
  using Receive = std::function<void(FrameToken, Frame)>;
  using Gone = std::function<void(FrameToken)>;

  /// `gone` is told the requests whose connection ended before their answer.
  FrameServer(EventLoop& loop, Endpoint endpoint, Receive receive, Gone gone);
  ~FrameServer();
  std::optional<std::string> start();
  void answer(FrameToken token, FrameKind kind, std::string body);
  /// Ends all connections, so that whoever waits for an answer asks another process at once.
  void dropConnections();

 private:
  friend class FrameServerConnection;
  struct Waiting {
    std::weak_ptr<FrameServerConnection> connection;
    std::uint64_t number = 0;
  };
  void onAccepted(boost::asio::ip::tcp::socket socket);

  EventLoop& loop_;
  Receive receive_;
  Gone gone_;
  TcpListener listener_;
  std::set<std::shared_ptr<FrameServerConnection>> connections_;
  std::map<FrameToken, Waiting> waiting_;
  FrameToken next_token_ = 1;
};

class FrameClientConnection;

/// A kept connection to one address, opened when there is something to send.
class FrameChannel {
 public:
  /// Is given the answer's body, or nothing if none came in time.
  using Answer = std::function<void(std::optional<std::string>)>;

  FrameChannel(EventLoop& loop, Endpoint endpoint);
  ~FrameChannel();
  FrameChannel(const FrameChannel&) = delete;
  FrameChannel& operator=(const FrameChannel&) = delete;

  void request(FrameKind kind, std::string body, Duration timeout, Answer answer);
  /// Sends without an answer; dropped when the peer does not keep up or cannot be reached.
  void post(FrameKind kind, std::string body);
  /// Nobody waits for an answer, and nothing was sent or answered since `moment`.
  [[nodiscard]] bool unusedSince(TimePoint moment) const {
    return pending_.empty() && last_used_ < moment;
  }
  /// Something came from the peer on another connection. An attempt to connect that still hangs, as
  /// one that began before the peer was there, is given up: the next frame opens a new one.
  void onPeerHeard();

 private:
  friend class FrameClientConnection;
  struct Pending {
    Answer answer;
    std::unique_ptr<LoopTimer> timer;
  };
  FrameClientConnection& connection();
  void dropConnection();
  void onFrame(const Frame& frame);
  void onTimeout(std::uint64_t number);
  void onLost(const FrameClientConnection* lost);
  void finish(std::uint64_t number, std::optional<std::string> body);

  EventLoop& loop_;
  Endpoint endpoint_;
  std::shared_ptr<FrameClientConnection> connection_;
  TimePoint opened_at_{0};  ///< When the connection was begun.
  TimePoint last_used_{0};
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t next_number_ = 1;
};

}  // namespace ramppond
