#include "daemon/proxy/forwarded_attempt.h"

#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

void add_field(HttpHead& head, std::string_view name, std::string value) {
  head.fields.push_back({std::string(name), std::move(value)});
}

void add_flag(HttpHead& head, std::string_view name, bool set) {
  if (set) {
    add_field(head, name, "1");
  }
}

}  // namespace

void forwarded_history::record(attempt_end end) {
  this->arrivals += was_received(end) ? 1 : 0;
  this->may_have_run = this->may_have_run || end == attempt_end::unknown;
}

void forwarded_history::record(const peer_answer& answer) {
  if (answer.outcome == peer_outcome::blocked) {
    this->blocked_for = answer.blocked_for;
  }
  this->lost_runs += answer.outcome == peer_outcome::unknown ? 1 : 0;
}

// A request that must not run twice is withheld in part: its last chunk is sent only after the peer
// has confirmed that there is room. Until then it cannot have run and may safely be sent elsewhere.
void forwarded_attempt::send(HttpClientPool& peer, HttpHead head, const forwarded_body& body,
                             bool may_run_twice, const std::shared_ptr<ClientHandler>& handler) {
  const auto framing = framingOf(head);
  if (may_run_twice || !body.ended()) {
    this->upstream = peer.start(head, framing, body.bytes(), body.ended(), handler);
    return;
  }
  this->end_state = body_end::withheld;
  add_field(head, kPeerConfirm, formatWithheldBody({body.bytes().size(), framing}));
  head.content_length.reset();
  head.chunked = true;
  this->upstream = peer.start(head, BodyFraming::kChunked, body.bytes(), false, handler);
}

void forwarded_attempt::confirm() {
  this->end_state = body_end::confirmed;
  this->confirm_timer.cancel();
  this->upstream->finishBody();
}

auto head_for_peer(const attempt_head_parts& parts) -> HttpHead {
  const auto& params = parts.params;
  auto head = parts.request;
  const auto patience_left = params.patience() - parts.waited;
  head.set(parts.deadline_field, formatMilliseconds(parts.time_left));
  add_field(head, kPeerInstance, parts.instance.record.server_incarnation);
  add_field(head, kPeerService, params.service);
  add_field(head, kPeerRoute, params.route->name);
  add_field(head, kPeerDigest, parts.digest);
  add_field(head, kPeerPriority, std::to_string(params.rank));
  add_field(head, kPeerPatienceMs, formatMilliseconds(patience_left));
  if (const auto rate = parts.instance.rate()) {
    add_field(head, kPeerToldRate, formatRate(*rate));
  }
  if (params.root) {
    add_field(head, kPeerRoot, formatRoot(*params.root));
  }
  add_flag(head, kPeerCall, params.is_call);
  add_flag(head, kPeerRetryable, params.may_run_twice());
  add_flag(head, kPeerSuspect, parts.history.lost_runs > 0);
  add_flag(head, kPeerRetry, parts.history.may_have_run || params.attributed.of_retry);
  return head;
}

}  // namespace ramppond
