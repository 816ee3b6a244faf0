#include "core/admission/run_outcome.h"

namespace ramppond {
namespace {

constexpr int server_error = 500;
constexpr int gateway_timeout = 504;

// A server whose call failed fails its own request because of it within this time. With less, a
// failing service opens the circuit breakers of the healthy servers that call it. With more, a
// server's own failures are attributed to unrelated failed calls.
constexpr auto failed_call_window = milliseconds(20);

}  // namespace

auto outcome_of(const answer_head& head) -> ServerOutcome {
  if (head.declares_not_run) {
    return ServerOutcome::kNotRun;
  }
  if (head.status == gateway_timeout) {
    return ServerOutcome::kDeadline;
  }
  return head.status >= server_error ? ServerOutcome::kFailed : ServerOutcome::kAnswered;
}

auto outcome_of(run_failure failure) -> ServerOutcome {
  switch (failure) {
    case run_failure::no_socket:
      return ServerOutcome::kWithdrawn;
    case run_failure::not_connected:
    case run_failure::refused:
      return ServerOutcome::kNoAnswer;
    case run_failure::connection_lost:
    case run_failure::invalid_answer:
      break;
  }
  return ServerOutcome::kLost;
}

auto text_of(run_failure failure) -> std::string_view {
  switch (failure) {
    case run_failure::no_socket:
      return "no socket";
    case run_failure::not_connected:
      return "not connected";
    case run_failure::refused:
      return "refused";
    case run_failure::connection_lost:
      return "connection lost";
    case run_failure::invalid_answer:
      return "invalid answer";
  }
  return "";
}

auto refusal_after(run_failure failure, answer_progress progress, bool has_other_connections)
    -> std::optional<inbound_refusal> {
  switch (failure) {
    case run_failure::no_socket:
      return inbound_refusal::no_socket;
    case run_failure::not_connected:
      return inbound_refusal::no_connection;
    case run_failure::refused:
      return has_other_connections ? inbound_refusal::no_connection : inbound_refusal::server_gone;
    case run_failure::connection_lost:
    case run_failure::invalid_answer:
      break;
  }
  switch (progress) {
    case answer_progress::begun:
      return std::nullopt;
    case answer_progress::declared_not_run:
      return inbound_refusal::declared_not_run;
    case answer_progress::none:
      break;
  }
  return failure == run_failure::invalid_answer ? inbound_refusal::invalid_answer
                                                : inbound_refusal::connection_lost;
}

auto signal_of(ServerOutcome outcome, bool reused_connection, Duration since_failed_call)
    -> breaker_signal {
  switch (outcome) {
    case ServerOutcome::kAnswered:
      return breaker_signal::success;
    case ServerOutcome::kNotRun:
      return breaker_signal::failure;
    case ServerOutcome::kFailed:
      return since_failed_call < failed_call_window ? breaker_signal::unknown
                                                    : breaker_signal::failure;
    case ServerOutcome::kLost:
      return reused_connection ? breaker_signal::unknown : breaker_signal::failure;
    case ServerOutcome::kDeadline:
    case ServerOutcome::kNoAnswer:
    case ServerOutcome::kWithdrawn:
      break;
  }
  return breaker_signal::unknown;
}

}  // namespace ramppond
