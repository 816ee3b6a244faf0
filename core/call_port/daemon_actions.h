// What the daemon's pure classes ask their driver to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/call_model/call.h"
#include "core/control/control_messages.h"
#include "core/control/control_state.h"

namespace ramppond {

/// Names one request from a caller or from the own back end; the driver chooses it.
using RequestToken = std::uint64_t;

/// Hand a call to the own back end.
struct DispatchToBackend {
  CallId id;
  CallPayload payload;
  std::string request_id;  ///< Of the front request, for tracing.
  std::string handle;      ///< Sent along; the back end passes it on with its own calls.
  Duration time_left{0};
  bool repeatable = false;  ///< If not, a fresh connection: an idle one may lose the answer.
};
/// Stop waiting for the own back end and close the connection.
struct CancelBackend {
  CallId id;
};
/// Answer a call of another daemon.
struct AnswerPeer {
  CallAnswer answer;
};
/// Send a call to another daemon.
struct SendToPeer {
  std::string peer_address;
  CallRequest request;
};
/// Stop waiting for another daemon and close the connection, which cancels the call there.
struct CancelPeer {
  CallId id;
};
/// Answer a caller or the own back end.
struct AnswerRequest {
  RequestToken token = 0;
  CallAnswer answer;
};
/// Send to a control process.
struct SendToControl {
  std::string address;
  std::uint64_t request_id = 0;
  ControlRequest request;
  Duration timeout{0};
};
/// Keep the configuration on disk, where there is one.
struct SaveConfiguration {
  Configuration configuration;
};

using DaemonAction = std::variant<DispatchToBackend, CancelBackend, AnswerPeer, SendToPeer,
                                  CancelPeer, AnswerRequest, SendToControl, SaveConfiguration>;
using DaemonActions = std::vector<DaemonAction>;

}  // namespace ramppond
