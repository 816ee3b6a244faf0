#include "net/stream/control_channels.h"

#include <iterator>

#include "core/cbor_codec.h"

namespace ramppond {

FrameChannel* ControlChannels::channel(const std::string& address) {
  auto& channel = channels_[address];
  if (channel == nullptr) {
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
      return nullptr;
    }
    channel = std::make_unique<FrameChannel>(loop_, *endpoint);
  }
  return channel.get();
}

void ControlChannels::request(const std::string& address, const ControlRequest& request,
                              Duration timeout, Answer answer) {
  FrameChannel* open = channel(address);
  if (open == nullptr) {
    loop_.post([answer = std::move(answer)] { answer(std::nullopt); });
    return;
  }
  open->request(FrameKind::kControlRequest, encode(request), timeout,
                [answer = std::move(answer)](const std::optional<std::string>& body) {
                  answer(body ? decode<ControlReply>(*body) : std::nullopt);
                });
}

void ControlChannels::onPeerHeard(const std::string& address) {
  const auto found = channels_.find(address);
  if (found != channels_.end() && found->second != nullptr) {
    found->second->onPeerHeard();
  }
}

void ControlChannels::post(const std::string& address, FrameKind kind, std::string body) {
  FrameChannel* open = channel(address);
  if (open != nullptr) {
    open->post(kind, std::move(body));
  }
}

void ControlChannels::closeUnusedSince(TimePoint moment) {
  for (auto channel = channels_.begin(); channel != channels_.end();) {
    const bool unused = channel->second == nullptr || channel->second->unusedSince(moment);
    channel = unused ? channels_.erase(channel) : std::next(channel);
  }
}

}  // namespace ramppond
