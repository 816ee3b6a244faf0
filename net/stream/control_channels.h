// Requests to control members over kept frame channels, one channel an address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/control/control_messages.h"
#include "net/stream/frame_channel.h"

namespace ramppond {

class ControlChannels {
 public:
  using Answer = std::function<void(const std::optional<ControlReply>&)>;

  explicit ControlChannels(EventLoop& loop) : loop_(loop) {}

  /// Nothing is given to `answer` if no valid reply came in time.
  void request(const std::string& address, const ControlRequest& request, Duration timeout,
               Answer answer);
  /// Something came from the peer at `address`; see FrameChannel::onPeerHeard().
  void onPeerHeard(const std::string& address);
  /// Sends without an answer.
  void post(const std::string& address, FrameKind kind, std::string body);
  /// Closes the connections to members that were not asked since `moment`: a member would
  /// otherwise hold one of every daemon that ever asked it. Not to be called by an Answer.
  void closeUnusedSince(TimePoint moment);
  [[nodiscard]] std::size_t open() const { return channels_.size(); }

 private:
  FrameChannel* channel(const std::string& address);

  EventLoop& loop_;
  std::map<std::string, std::unique_ptr<FrameChannel>> channels_;
};

}  // namespace ramppond
