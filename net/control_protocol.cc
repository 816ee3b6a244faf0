#include "net/control_protocol.h"

#include <future>
#include <thread>

#include "common/clock.h"
#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr Duration kAskPause = milliseconds(100);
constexpr Duration kMemberTimeout = milliseconds(1500);

}  // namespace

std::uint64_t sendControlRequest(HttpClient& client, const std::string& address,
                                 const ControlRequest& request, Duration timeout,
                                 std::function<void(std::optional<ControlReply>)> callback) {
  HttpClientRequest http;
  http.url = "http://" + address + kControlPath;
  http.headers.push_back({"Content-Type", kCborType});
  http.body = encode(request);
  http.timeout = timeout;
  return client.send(std::move(http),
                     [callback = std::move(callback)](const HttpClientResult& result) {
                       const bool usable = result.complete && result.status == 200;
                       callback(usable ? decode<ControlReply>(result.body) : std::nullopt);
                     });
}

ControlClient::ControlClient(std::vector<std::string> addresses, Duration timeout)
    : client_(HttpClientOptions{}), addresses_(std::move(addresses)), timeout_(timeout) {}

std::optional<ControlReply> ControlClient::askMember(const std::string& address,
                                                     const ControlRequest& request) {
  std::promise<std::optional<ControlReply>> promise;
  auto future = promise.get_future();
  sendControlRequest(
      client_, address, request, kMemberTimeout,
      [&promise](std::optional<ControlReply> reply) { promise.set_value(std::move(reply)); });
  auto reply = future.get();
  if (!reply) {
    last_reason_ = "no answer from " + address;
  }
  return reply;
}

std::optional<ControlReply> ControlClient::ask(const ControlRequest& request) {
  const TimePoint give_up = monotonicNow() + timeout_;
  std::size_t next = 0;
  std::string target = addresses_.empty() ? "" : addresses_.front();
  while (!target.empty()) {
    auto reply = askMember(target, request);
    if (reply && reply->error != ErrorKind::kNotLeader) {
      return reply;
    }
    if (reply) {
      last_reason_ = target + ": " + reply->reason;
    }
    if (monotonicNow() >= give_up) {
      break;
    }
    const bool hinted = reply && !reply->leader_address.empty() && reply->leader_address != target;
    next += 1;
    target = hinted ? reply->leader_address : addresses_[next % addresses_.size()];
    if (!hinted) {
      std::this_thread::sleep_for(kAskPause);
    }
  }
  return std::nullopt;
}

}  // namespace ramppond
