#include "core/errors.h"

#include <array>

namespace ramppond {
namespace {

constexpr std::size_t kKindCount = static_cast<std::size_t>(ErrorKind::kCount);
constexpr Outcome kNot = Outcome::kNotRun;
constexpr Outcome kUnk = Outcome::kUnknown;

// Columns: kind, name, HTTP status, outcome, Retry-After, another server may be tried.
constexpr std::array<ErrorAnswer, kKindCount> kAnswers = {{
    {ErrorKind::kNone, "none", 200, Outcome::kRan, false, false},
    {ErrorKind::kMalformedRequest, "malformed_request", 400, kNot, false, false},
    {ErrorKind::kTooLarge, "too_large", 413, kNot, false, false},
    {ErrorKind::kUnknownCaller, "unknown_caller", 401, kNot, false, false},
    {ErrorKind::kUnknownService, "unknown_service", 404, kNot, false, false},
    {ErrorKind::kNoConfiguration, "no_configuration", 503, kNot, true, true},
    {ErrorKind::kOverloaded, "overloaded", 503, kNot, true, true},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, kNot, true, false},
    {ErrorKind::kDraining, "draining", 503, kNot, true, true},
    {ErrorKind::kNoServer, "no_server", 503, kNot, true, false},
    {ErrorKind::kNoQuorum, "no_quorum", 503, kNot, true, false},
    {ErrorKind::kDuplicateInProgress, "duplicate_in_progress", 409, kUnk, true, false},
    {ErrorKind::kDuplicateUnknown, "duplicate_unknown", 409, kUnk, false, false},
    {ErrorKind::kDuplicateCall, "duplicate_call", 409, kUnk, false, false},
    {ErrorKind::kServerRestarted, "server_restarted", 503, kNot, true, true},
    {ErrorKind::kBackendUnreachable, "backend_unreachable", 503, kNot, true, true},
    {ErrorKind::kBackendLost, "backend_lost", 502, kUnk, true, true},
    {ErrorKind::kServerLost, "server_lost", 502, kUnk, true, true},
    {ErrorKind::kCancelled, "cancelled", 499, kNot, false, false},
    {ErrorKind::kNotLeader, "not_leader", 503, kNot, true, false},
    {ErrorKind::kNotFound, "not_found", 404, kNot, false, false},
    {ErrorKind::kVersionConflict, "version_conflict", 409, kNot, false, false},
    {ErrorKind::kPromiseOrder, "promise_order", 422, kNot, false, false},
    {ErrorKind::kPlanClosed, "plan_closed", 409, kNot, false, false},
    {ErrorKind::kKeyReused, "key_reused", 422, kNot, false, false},
}};

}  // namespace

const ErrorAnswer& errorAnswer(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return kAnswers.at(index < kKindCount ? index : 0);
}

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace ramppond
