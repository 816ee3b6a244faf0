#include "core/call_port/front_door.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/control/control_state.h"

namespace ramppond {
namespace {

// A cut that no answer has confirmed for this long no longer binds: nothing of the work type got
// through, so one probe per interval finds out whether it would now.
constexpr Duration kCutLifetime = milliseconds(300);
constexpr Duration kProbeInterval = milliseconds(100);
constexpr Duration kShortestRetryAfter = milliseconds(200);
constexpr Duration kLongestRetryAfter = seconds(5);

}  // namespace

bool ChainCuts::admits(const std::string& work_type, Level level, TimePoint now) {
  const auto found = entries_.find(work_type);
  if (found == entries_.end() || level <= found->second.cut) {
    return true;
  }
  Entry& entry = found->second;
  if (now - entry.heard < kCutLifetime || now < entry.next_probe) {
    return false;
  }
  entry.next_probe = now + kProbeInterval;
  return true;
}

void ChainCuts::onAnswer(const std::string& work_type, Level chain_cut, Duration retry_after,
                         TimePoint now) {
  Entry& entry = entries_[work_type];
  entry.cut = chain_cut;
  entry.heard = now;
  if (retry_after > Duration(0)) {
    entry.retry_after = retry_after;
  }
}

Duration ChainCuts::retryAfter(const std::string& work_type) {
  const Duration base = std::max(kShortestRetryAfter, entries_[work_type].retry_after);
  const auto jittered = static_cast<double>(base.count()) * (0.5 + random_.uniform());
  return std::clamp(Duration(static_cast<std::int64_t>(jittered)), kShortestRetryAfter,
                    kLongestRetryAfter);
}

std::string FrontDoor::mintId() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random_.next()),
                static_cast<unsigned long long>(random_.next()));
  return text.data();
}

FrontDecision FrontDoor::decide(const FrontRequest& request, const Configuration& configuration,
                                TimePoint now) {
  FrontDecision decision;
  const PriorityClass* priority_class = configuration.classOfKey(request.caller_key);
  if (priority_class == nullptr && !request.caller_key.empty()) {
    decision.error = ErrorKind::kUnknownCaller;
    return decision;
  }
  const WorkType* work_type = configuration.workTypeOf(request.service, request.payload.path);
  if (work_type == nullptr) {
    decision.error = ErrorKind::kUnknownService;
    return decision;
  }
  CallContext& context = decision.context;
  context.request_id = mintId();
  context.work_type = work_type->name;
  context.kind = work_type->kind;
  context.time_left = request.deadline > Duration(0) ? std::min(request.deadline, kMaximumDeadline)
                                                     : kDefaultDeadline;
  context.level = admissionLevel(
      *work_type, priority_class == nullptr ? kAnonymousWeight : priority_class->weight,
      context.request_id);
  context.retry_allowance = configuration.retry_allowance;
  decision.repeatable = work_type->kind != WorkKind::kCommitOnce;
  if (!decision.repeatable) {
    // A caller without a key of its own still gets at most one run of this very request.
    const std::string key =
        request.idempotency_key.empty() ? context.request_id : request.idempotency_key;
    context.idempotency_key = claimKey(request.caller_key, request.service, key);
  }
  if (policy_.shed_at_front && !cuts_.admits(work_type->name, context.level, now)) {
    decision.error = ErrorKind::kOverloaded;
    decision.retry_after = cuts_.retryAfter(work_type->name);
  }
  return decision;
}

void FrontDoor::onAnswer(const CallScope& scope, const CallAnswer& answer, TimePoint now) {
  const bool heard_from_chain = answer.receiver_incarnation != 0;
  if (heard_from_chain) {
    cuts_.onAnswer(scope.context().work_type, scope.chainCut(), answer.retry_after, now);
  }
}

}  // namespace ramppond
