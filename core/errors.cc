#include "core/errors.h"

#include <array>

namespace ramppond {
namespace {

constexpr std::size_t kKindCount = static_cast<std::size_t>(ErrorKind::kCount);
constexpr Outcome kOutcomeNotRun = Outcome::kNotRun;
constexpr Outcome kOutcomeUnknown = Outcome::kUnknown;

// Columns: kind, name, http_status, outcome, retry_after, retry_elsewhere.
constexpr std::array<ErrorAnswer, kKindCount> kAnswers = {{
    {ErrorKind::kNone, "none", 200, Outcome::kRan, false, false},
    {ErrorKind::kMalformedRequest, "malformed_request", 400, kOutcomeNotRun, false, false},
    {ErrorKind::kTooLarge, "too_large", 413, kOutcomeNotRun, false, false},
    {ErrorKind::kUnknownCaller, "unknown_caller", 401, kOutcomeNotRun, false, false},
    {ErrorKind::kUnknownService, "unknown_service", 404, kOutcomeNotRun, false, false},
    {ErrorKind::kNoConfiguration, "no_configuration", 503, kOutcomeNotRun, true, true},
    {ErrorKind::kOverloaded, "overloaded", 503, kOutcomeNotRun, true, true},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, kOutcomeNotRun, true, false},
    {ErrorKind::kDraining, "draining", 503, kOutcomeNotRun, true, true},
    {ErrorKind::kNoServer, "no_server", 503, kOutcomeNotRun, true, false},
    {ErrorKind::kNoQuorum, "no_quorum", 503, kOutcomeNotRun, true, false},
    {ErrorKind::kDuplicateInProgress, "duplicate_in_progress", 409, kOutcomeUnknown, true, false},
    {ErrorKind::kDuplicateUnknown, "duplicate_unknown", 409, kOutcomeUnknown, false, false},
    {ErrorKind::kDuplicateCall, "duplicate_call", 409, kOutcomeUnknown, false, false},
    {ErrorKind::kServerRestarted, "server_restarted", 503, kOutcomeNotRun, true, true},
    {ErrorKind::kBackendUnreachable, "backend_unreachable", 503, kOutcomeNotRun, true, true},
    {ErrorKind::kBackendLost, "backend_lost", 502, kOutcomeUnknown, true, true},
    {ErrorKind::kServerLost, "server_lost", 502, kOutcomeUnknown, true, true},
    {ErrorKind::kCancelled, "cancelled", 499, kOutcomeNotRun, false, false},
    {ErrorKind::kNotLeader, "not_leader", 503, kOutcomeNotRun, true, false},
    {ErrorKind::kNotFound, "not_found", 404, kOutcomeNotRun, false, false},
    {ErrorKind::kVersionConflict, "version_conflict", 409, kOutcomeNotRun, false, false},
    {ErrorKind::kPromiseOrder, "promise_order", 422, kOutcomeNotRun, false, false},
    {ErrorKind::kPlanClosed, "plan_closed", 409, kOutcomeNotRun, false, false},
    {ErrorKind::kKeyReused, "key_reused", 422, kOutcomeNotRun, false, false},
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
