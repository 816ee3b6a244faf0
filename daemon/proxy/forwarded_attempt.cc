#include "daemon/proxy/forwarded_attempt.h"

#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

void add_field(HttpHead& head, std::string_view name, std::string value) {
  head.fields.push_back({std::string(name), std::move(value)});
}

void add_mark(HttpHead& head, std::string_view name, bool set) {
  if (set) {
    add_field(head, name, "1");
  }
}

}  // namespace

void forwarded_history::note(attempt_end end) {
  this->arrivals += was_received(end) ? 1 : 0;
  this->may_have_run = this->may_have_run || end == attempt_end::unknown;
}

void forwarded_history::note(const peer_answer& answer) {
  if (answer.outcome == peer_outcome::blocked) {
    this->blocked_for = answer.blocked_for;
  }
  this->lost_runs += answer.outcome == peer_outcome::unknown ? 1 : 0;
}

// What must not run twice is not complete at the peer before there is room for it there: whatever
// happens until then, it has not run and may go elsewhere.
void forwarded_attempt::send(HttpClientPool& peer, HttpHead head, const forwarded_body& body,
                             bool may_run_twice, const std::shared_ptr<ClientHandler>& handler) {
  const auto framing = framingOf(head);
  if (may_run_twice || !body.ended()) {
    this->upstream = peer.start(head, framing, body.bytes(), body.ended(), handler);
    return;
  }
  this->end = request_end::held_back;
  add_field(head, kPeerConfirm, formatBodyForm({body.bytes().size(), framing}));
  head.content_length.reset();
  head.chunked = true;
  this->upstream = peer.start(head, BodyFraming::kChunked, body.bytes(), false, handler);
}

void forwarded_attempt::confirm() {
  this->end = request_end::confirmed;
  this->confirm_timer.cancel();
  this->upstream->finishBody();
}

auto head_for_peer(const attempt_head& parts) -> HttpHead {
  const auto& terms = parts.terms;
  auto head = parts.request;
  const auto patience_left = terms.patience() - parts.waited;
  head.set(parts.deadline_field, formatMilliseconds(parts.time_left));
  add_field(head, kPeerInstance, parts.instance.record.server_incarnation);
  add_field(head, kPeerService, terms.service);
  add_field(head, kPeerRoute, terms.route->name);
  add_field(head, kPeerDigest, parts.digest);
  add_field(head, kPeerPriority, std::to_string(terms.rank));
  add_field(head, kPeerPatienceMs, formatMilliseconds(patience_left));
  if (const auto rate = parts.instance.rate()) {
    add_field(head, kPeerToldRate, formatRate(*rate));
  }
  add_mark(head, kPeerCall, terms.is_call);
  add_mark(head, kPeerRetryable, terms.may_run_twice());
  add_mark(head, kPeerSuspect, parts.history.lost_runs > 0);
  add_mark(head, kPeerRetry, parts.history.may_have_run || terms.attributed.of_retry);
  return head;
}

}  // namespace ramppond
