// Messages of a call between two daemons, and the context that is passed down the call tree.
//
// A front request is a request that enters the call graph from outside; the calls that are made
// to answer it form its call tree. The types here are plain data.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/call_model/configuration.h"
#include "core/call_model/priority.h"
#include "core/errors.h"
#include "core/time.h"

namespace ramppond {

/// Identifies one attempt of one call. `sender` is the incarnation of the sending daemon, which is
/// random and new at each start; `sequence` increases within an incarnation. Ids are never reused.
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

/// Properties that a call inherits from its front request. Created by the daemon that accepts the
/// front request, and never accepted from outside.
struct CallContext {
  std::string request_id;  ///< Id of the front request, for tracing.
  std::string work_type;   ///< Name of the front request's work type.
  Duration time_left{0};   ///< Until the deadline; relative, since clocks may differ.
  Level level = kLowestLevel;
  WorkKind kind = WorkKind::kBulk;
  std::uint32_t retry_allowance = 0;  ///< Retries that the receiver of this call may use.
  std::uint32_t depth = 0;            ///< Number of hops from the front request.
  std::string idempotency_key;        ///< Scoped key to claim; empty if the call needs no claim.
  bool repeatable = false;            ///< May be retried when the outcome is unknown.

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

/// The request for the back end, forwarded without interpretation.
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

/// A call as sent to the daemon of the server that should run it.
struct CallRequest {
  CallId id;
  /// The receiver's incarnation as far as the sender knows. A receiver of another incarnation
  /// refuses the call, because it has lost its record of past calls. Zero only asks for the
  /// receiver's incarnation.
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
  CallId id;                               ///< Id of the request; checked by the sender.
  std::uint64_t receiver_incarnation = 0;  ///< Incarnation of the daemon that answered.
  ErrorKind error = ErrorKind::kNone;
  Outcome outcome = Outcome::kNotRun;
  std::uint32_t status = 0;  ///< HTTP status of the back end if the call ran.
  std::string content_type;
  std::string body;
  std::uint64_t body_checksum = 0;     ///< XXH3 of `body`.
  std::uint32_t retries_returned = 0;  ///< Unused part of the request's retry allowance.
  /// Strictest admission cut in the call tree below this call: work of a higher level is refused
  /// somewhere in it. Similar to the summed prices of Rajomon (NSDI 2025).
  Level chain_cut = kLowestLevel;
  Duration retry_after{0};
  bool draining = false;            ///< The server takes no new work.
  std::uint32_t load_permille = 0;  ///< Calls held by the server, in thousandths of its limit.

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

/// XXH3 checksum that is sent along with a body.
std::uint64_t bodyChecksum(const std::string& body);

/// The daemon's own answer for an error of `kind`, with the outcome that errorAnswer() gives.
CallAnswer errorCallAnswer(const CallId& id, ErrorKind kind);

}  // namespace ramppond
