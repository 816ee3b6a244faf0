#include "core/retries/attempt_end.h"

namespace ramppond {

auto end_of(attempt_failure failure, bool held_back) -> attempt_end {
  switch (failure) {
    case attempt_failure::no_socket:
    case attempt_failure::not_connected:
    case attempt_failure::not_admitted:
      return attempt_end::not_sent;
    case attempt_failure::connection_lost:
    case attempt_failure::peer_silent:
      return held_back ? attempt_end::not_sent : attempt_end::unknown;
  }
  return attempt_end::unknown;
}

auto text_of(attempt_failure failure) -> std::string_view {
  switch (failure) {
    case attempt_failure::no_socket:
      return "no socket";
    case attempt_failure::not_connected:
      return "not connected";
    case attempt_failure::connection_lost:
      return "connection lost";
    case attempt_failure::not_admitted:
      return "not admitted";
    case attempt_failure::peer_silent:
      return "peer silent";
  }
  return "";
}

}  // namespace ramppond
