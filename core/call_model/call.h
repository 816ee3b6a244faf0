// The messages of a call between daemons, and the context that travels down the call tree.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/call_model/configuration.h"
#include "core/call_model/priority.h"
#include "core/errors.h"
#include "core/time.h"

namespace ramppond {

/// Names one attempt of one call. `sender` is the sending daemon's incarnation, drawn anew at
/// each start; `sequence` counts up within it, so no id is ever used twice.
struct CallId {
  std::uint64_t sender = 0;
  std::uint64_t sequence = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, sender);
    visitor(2, sequence);
  }
  bool operator==(const CallId& other) const {
    return sender == other.sender && sequence == other.sequence;
  }
  bool operator!=(const CallId& other) const { return !(*this == other); }
  bool operator<(const CallId& other) const {
    return sender != other.sender ? sender < other.sender : sequence < other.sequence;
  }
  [[nodiscard]] std::string toString() const;
};

struct CallIdHash {
  std::size_t operator()(const CallId& id) const {
    return std::hash<std::uint64_t>()(id.sender ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
  }
};

/// What all calls of one front request share. Minted by the first daemon, never taken from
/// outside.
struct CallContext {
  std::string request_id;  ///< The front request, for tracing.
  std::string work_type;   ///< Its work type's name.
  Duration time_left{0};   ///< Until the deadline; relative, so clocks may differ.
  Level level = kLowestLevel;
  WorkKind kind = WorkKind::kBulk;
  std::uint32_t retry_allowance = 0;  ///< Retries lent to the receiver of this call.
  std::uint32_t depth = 0;            ///< Hops from the front.
  std::string idempotency_key;        ///< Scoped claim key; empty if nothing is claimed.
  bool repeatable = false;            ///< May be tried again when the outcome is unknown.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, request_id);
    visitor(2, work_type);
    visitor(3, time_left);
    visitor(4, level);
    visitor(5, kind);
    visitor(6, retry_allowance);
    visitor(7, depth);
    visitor(8, idempotency_key);
    visitor(9, repeatable);
  }
};

/// What is carried from the requester to the back end, not looked into.
struct CallPayload {
  std::string method = "POST";
  std::string path;          ///< Starts with '/'.
  std::string content_type;  ///< May be empty.
  std::string body;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, method);
    visitor(2, path);
    visitor(3, content_type);
    visitor(4, body);
  }
};

/// A call as sent to the daemon of the server that is to run it.
struct CallRequest {
  CallId id;
  /// The receiver's incarnation as the sender knows it. A receiver of another incarnation has
  /// lost its record of past calls and refuses; zero asks only for the receiver's incarnation.
  std::uint64_t receiver_incarnation = 0;
  CallContext context;
  std::string service;
  CallPayload payload;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, id);
    visitor(2, receiver_incarnation);
    visitor(3, context);
    visitor(4, service);
    visitor(5, payload);
  }
};

/// The answer to a call.
struct CallAnswer {
  CallId id;                               ///< Echo of the request's id; checked.
  std::uint64_t receiver_incarnation = 0;  ///< Who answered.
  ErrorKind error = ErrorKind::kNone;
  Outcome outcome = Outcome::kNotRun;
  std::uint32_t status = 0;  ///< The back end's HTTP status when it ran.
  std::string content_type;
  std::string body;
  std::uint64_t body_checksum = 0;     ///< XXH3 of `body`.
  std::uint32_t retries_returned = 0;  ///< What is left of the lent allowance.
  /// Strictest admission cut along the chain below, as in Rajomon's summed prices (NSDI 2025):
  /// work of a higher level than this is being refused somewhere down the tree.
  Level chain_cut = kLowestLevel;
  Duration retry_after{0};
  bool draining = false;            ///< The server takes no new work.
  std::uint32_t load_permille = 0;  ///< Calls held by the server per 1000 of its limit.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, id);
    visitor(2, receiver_incarnation);
    visitor(3, error);
    visitor(4, outcome);
    visitor(5, status);
    visitor(6, body);
    visitor(7, body_checksum);
    visitor(8, retries_returned);
    visitor(9, chain_cut);
    visitor(10, retry_after);
    visitor(11, draining);
    visitor(12, load_permille);
    visitor(13, content_type);
  }
};

/// Checksum carried beside a body.
std::uint64_t bodyChecksum(const std::string& body);

/// An answer of ours for `kind`; the outcome is the table's.
CallAnswer errorCallAnswer(const CallId& id, ErrorKind kind);

}  // namespace ramppond
