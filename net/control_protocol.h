// How control requests and Raft messages travel: HTTP POST with CBOR bodies.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/control/control_messages.h"
#include "net/http_client.h"

namespace ramppond {

constexpr char kControlPath[] = "/control";
constexpr char kRaftPath[] = "/raft";
constexpr char kPeerCallPath[] = "/call";
constexpr char kCborType[] = "application/cbor";

/// Sends a request to HOST:PORT; the callback gets nothing if no valid reply came.
std::uint64_t sendControlRequest(HttpClient& client, const std::string& address,
                                 const ControlRequest& request, Duration timeout,
                                 std::function<void(std::optional<ControlReply>)> callback);

/// Asks the control group from a command-line tool: tries each address, follows the leader.
class ControlClient {
 public:
  ControlClient(std::vector<std::string> addresses, Duration timeout);
  /// The reply of a member that could serve the request, or nothing; see lastReason().
  std::optional<ControlReply> ask(const ControlRequest& request);
  /// Asks one member only.
  std::optional<ControlReply> askMember(const std::string& address, const ControlRequest& request);
  [[nodiscard]] const std::string& lastReason() const { return last_reason_; }
  [[nodiscard]] const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  HttpClient client_;
  std::vector<std::string> addresses_;
  Duration timeout_;
  std::string last_reason_;
};

}  // namespace ramppond
