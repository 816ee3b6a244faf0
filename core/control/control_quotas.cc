// ControlCore: daemons' reports of tenants' requests, collected and answered by the leader.
#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {

void ControlCore::updateQuotaLimits(TimePoint now) {
  if (quota_limits_index_ != state_.traffic().logIndex()) {
    quota_limits_index_ = state_.traffic().logIndex();
    quotas_.set_limits(state_.traffic().configuration().tenants, now);
  }
}

void ControlCore::onQuotaReport(ControlToken token, const ControlRequest& request, TimePoint now) {
  const auto report = decode<quota_report>(request.quota_report);
  if (!report) {
    answerError(token, ErrorKind::kMalformedRequest, "not a report");
    return;
  }
  if (raft_.role() != RaftRole::kLeader) {
    answerError(token, ErrorKind::kNotLeader, "this member does not lead");
    return;
  }
  updateQuotaLimits(now);
  quotas_.on_report(*report, now);
  const auto latest = quotas_.answer(now);
  if (!latest) {
    answerError(token, ErrorKind::kNoQuorum, "this member leads since a moment ago");
    return;
  }
  ControlReply reply;
  reply.authoritative = true;
  reply.quota_answer = encode(*latest);
  answer(token, std::move(reply));
}

}  // namespace ramppond
