#include "core/admission/inbound_refusal.h"

namespace ramppond {
namespace {

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;

}  // namespace

auto traits_of(inbound_refusal refusal) -> refusal_traits {
  using kind = refusal_kind;
  using counter = refusal_counter;
  switch (refusal) {
    case inbound_refusal::draining:
      return {kind::fenced, "draining", unavailable, counter::fenced};
    case inbound_refusal::other_instance:
      return {kind::fenced, "other instance", unavailable, counter::fenced};
    case inbound_refusal::quarantined_elsewhere:
      return {kind::elsewhere, "tried elsewhere", unavailable, counter::none};
    case inbound_refusal::isolation_timed_out:
      return {kind::elsewhere, "not alone", unavailable, counter::none};
    case inbound_refusal::blocked:
      return {kind::blocked, "ends servers", unavailable, counter::blocked};
    case inbound_refusal::breaker_open:
      return {kind::busy, "server fails", unavailable, counter::breaker};
    case inbound_refusal::queue_full:
      return {kind::busy, "queue", unavailable, counter::refused};
    case inbound_refusal::queue_timeout:
      return {kind::busy, "waited", unavailable, counter::refused};
    case inbound_refusal::beyond_rate:
      return {kind::busy, "limit", unavailable, counter::refused};
    case inbound_refusal::deadline_near:
      return {kind::busy, "deadline", unavailable, counter::none};
    case inbound_refusal::not_confirmed:
      return {kind::busy, "not confirmed", unavailable, counter::none};
    case inbound_refusal::no_socket:
      return {kind::busy, "no socket", unavailable, counter::none};
    case inbound_refusal::no_connection:
      return {kind::busy, "no connection", unavailable, counter::none};
    case inbound_refusal::server_gone:
      return {kind::fenced, "no connection", unavailable, counter::none};
    case inbound_refusal::declared_not_run:
      return {kind::not_run, "server", unavailable, counter::none};
    case inbound_refusal::invalid_answer:
      return {kind::unknown, "invalid answer", bad_gateway, counter::none};
    case inbound_refusal::connection_lost:
      break;
  }
  return {kind::unknown, "connection lost", bad_gateway, counter::none};
}

}  // namespace ramppond
