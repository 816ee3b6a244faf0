// The closed list of error kinds and the one table from a kind to what a caller is told.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

/// What is known about whether a call reached its back end.
enum class Outcome : std::uint8_t {
  kNotRun = 0,   ///< Provably never handed to a back end.
  kRan = 1,      ///< A back end ran it and its complete answer is at hand.
  kUnknown = 2,  ///< It may or may not have run.
};

/// Every reason for which ramppond itself answers a call or an operator.
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

/// One row of the table: how an error kind is told to a caller.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Outcome outcome;       ///< The outcome unless the call had already been dispatched.
  bool retry_after;      ///< Whether the answer carries Retry-After (RFC 9110, 10.2.3).
  bool retry_elsewhere;  ///< Whether another server may be tried within the retry allowance.
};

/// The row for `kind`. Total over the enumeration.
const ErrorAnswer& errorAnswer(ErrorKind kind);

std::string_view outcomeName(Outcome outcome);

}  // namespace ramppond
