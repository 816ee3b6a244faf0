#include "daemon/proxy/forwarded_outcome.h"

#include <array>
#include <string_view>

#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

struct outcome_token {
  std::string_view token;
  peer_outcome outcome;
};

constexpr std::array<outcome_token, 6> outcome_tokens = {{
    {kOutcomeBusy, peer_outcome::busy},
    {kOutcomeFenced, peer_outcome::fenced},
    {kOutcomeElsewhere, peer_outcome::elsewhere},
    {kOutcomeBlocked, peer_outcome::blocked},
    {kOutcomeNotRun, peer_outcome::not_run},
    {kOutcomeUnknown, peer_outcome::unknown},
}};

auto outcome_of(std::string_view token) -> peer_outcome {
  for (const auto& known : outcome_tokens) {
    if (known.token == token) {
      return known.outcome;
    }
  }
  return peer_outcome::unknown;
}

}  // namespace

auto parse_peer_answer(const HttpHead& head) -> std::optional<peer_answer> {
  const auto* text = head.find(kPeerOutcome);
  if (text == nullptr) {
    return std::nullopt;
  }
  auto answer = peer_answer();
  answer.outcome = outcome_of(std::string_view(*text).substr(0, text->find(';')));
  answer.reason = *text;
  if (answer.outcome == peer_outcome::blocked) {
    answer.blocked_for = parseMilliseconds(head.find(kPeerBlockedMs));
  }
  return answer;
}

auto end_of(peer_outcome outcome) -> attempt_end {
  switch (outcome) {
    case peer_outcome::busy:
    case peer_outcome::fenced:
    case peer_outcome::elsewhere:
      return attempt_end::not_sent;
    case peer_outcome::blocked:
      return attempt_end::blocked;
    case peer_outcome::not_run:
      return attempt_end::not_run;
    case peer_outcome::unknown:
      return attempt_end::unknown;
  }
  return attempt_end::unknown;
}

}  // namespace ramppond
