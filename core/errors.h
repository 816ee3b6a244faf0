// Error kinds and the table that maps each kind to the answer that a caller gets.
//
// The list of kinds is closed: every error that ramppond itself reports is one of them.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

/// What is known about whether a back end ran a call.
enum class Outcome : std::uint8_t {
  kNotRun = 0,   ///< Certainly never sent to a back end.
  kRan = 1,      ///< A back end ran it and returned a complete answer.
  kUnknown = 2,  ///< It may or may not have run.
};

/// Every error with which ramppond itself answers a call or an operator's request.
enum class ErrorKind : std::uint8_t {
  kNone = 0,
  kMalformedRequest,
  kTooLarge,
  kUnknownCaller,
  kUnknownService,
  kNoConfiguration,
  kOverloaded,
  kDeadlineExceeded,
  kDraining,
  kNoServer,
  kNoQuorum,
  kDuplicateInProgress,
  kDuplicateUnknown,
  kDuplicateCall,
  kServerRestarted,
  kBackendUnreachable,
  kBackendLost,
  kServerLost,
  kCancelled,
  kNotLeader,
  kNotFound,
  kVersionConflict,
  kPromiseOrder,
  kPlanClosed,
  kKeyReused,
  kCount,
};

/// One row of the table: how an error kind is reported to a caller.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Outcome outcome;       ///< Outcome to report if the call was not dispatched before the error.
  bool retry_after;      ///< Whether the answer carries Retry-After (RFC 9110, 10.2.3).
  bool retry_elsewhere;  ///< Whether another server may be tried within the retry allowance.
};

/// Returns the row for `kind`. Every enumerator but kCount has one.
const ErrorAnswer& errorAnswer(ErrorKind kind);

std::string_view outcomeName(Outcome outcome);

}  // namespace ramppond
