#include "core/admission/server_admission.h"

#include <algorithm>
#include <iterator>

namespace ramppond {
namespace {

// Share of the server's slots that is used. Servers slow down when nearly full. With a lower share
// slots stay idle while requests are refused.
constexpr std::uint32_t kUsableSlotsPercent = 94;
// Maximum length of the queue. Bounds memory regardless of the patience of the waiting requests.
constexpr std::size_t kMaximumWaiting = 512;
// The inverse of one outcome's weight in the smoothed share of failed requests.
constexpr std::int64_t kFailedShareSmoothingDivisor = 16;
// Until the origin of a route is known, a client's request may be taken for a call. The priority
// that it set for calls expires after this time.
constexpr Duration kCallPriorityRetention = seconds(5);
constexpr double kThousandths = 1000;

}  // namespace

void ServerAdmission::setSlots(std::uint32_t slots, std::uint32_t max_connections) {
  const std::uint32_t capacity = max_connections == 0 ? slots : std::min(slots, max_connections);
  const std::uint64_t usable = std::uint64_t{capacity} * kUsableSlotsPercent / 100;
  limit_ = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable));
}

void ServerAdmission::noteCallPriority(std::uint32_t priority, TimePoint now) {
  const bool forgotten = now - most_urgent_call_seen_ > kCallPriorityRetention;
  if (forgotten || priority <= most_urgent_call_.value_or(priority)) {
    most_urgent_call_ = priority;
    most_urgent_call_seen_ = now;
  }
}

ServerAdmission::Position ServerAdmission::positionOf(const AdmissionRequest& request,
                                                      TimePoint now) {
  const std::uint32_t rank =
      std::min(request.priority, most_urgent_call_.value_or(request.priority));
  const TimePoint due = now + request.patience + request.service_time.value_or(Duration(0));
  return {rank, due, arrivals_++};
}

std::size_t ServerAdmission::requestsUpTo(const Position& position) const {
  const auto ahead = std::distance(waiting_.begin(), waiting_.lower_bound(position));
  return static_cast<std::size_t>(ahead) + 1;
}

Duration ServerAdmission::waitForSlot(const Position& position, slowdown_factor slowdown) const {
  return slowed(service_time_.smoothed().value_or(kInitialServiceTime), slowdown) *
         static_cast<std::int64_t>(requestsUpTo(position)) / static_cast<std::int64_t>(limit_);
}

Duration ServerAdmission::waitForRate(const Position& position, TimePoint now) const {
  return rate_.wait_for(requestsUpTo(position), now);
}

double ServerAdmission::utilization(TimePoint now) const {
  const double slots = static_cast<double>(underWay()) / static_cast<double>(limit_);
  return std::min(1.0, std::max(slots, rate_.demand(now)));
}

void ServerAdmission::setRate(std::optional<request_rate> rate, TimePoint now) {
  rate_.set(rate, now);
}

AdmissionVerdict ServerAdmission::offer(const AdmissionRequest& request, TimePoint now) {
  if (request.is_call) {
    noteCallPriority(request.priority, now);
  }
  rate_.on_offer(now);
  if (underWay() < limit_ && waiting_.empty() && rate_.take(now)) {
    service_time_.on_begun(now);
    overload_.on_offer({utilization(now), Duration(0), request.reference_wait}, now);
    return AdmissionVerdict::kDispatch;
  }
  const Position position = positionOf(request, now);
  const Duration slot_wait = waitForSlot(position, request.slowdown);
  const Duration rate_wait = waitForRate(position, now);
  overload_.on_offer({1, std::max(slot_wait, rate_wait), request.reference_wait}, now);
  if (rate_wait > request.patience) {
    return AdmissionVerdict::kRefuseForRate;
  }
  if (waiting_.size() >= kMaximumWaiting || slot_wait > request.patience) {
    return AdmissionVerdict::kRefuse;
  }
  waiting_[position] = {request.id, now + request.patience};
  positions_[request.id] = position;
  return AdmissionVerdict::kWait;
}

void ServerAdmission::onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now,
                                 std::optional<Duration> usual_time) {
  if (underWay() == 0) {
    return;
  }
  const bool done = isCompletedRun(outcome);
  service_time_.on_ended(begun, done, now, usual_time);
  if (outcome != ServerOutcome::kWithdrawn) {
    const double failed = done ? 0.0 : 1.0;
    failed_share_ += (failed - failed_share_) / static_cast<double>(kFailedShareSmoothingDivisor);
  }
}

std::uint32_t ServerAdmission::failedPermille() const {
  return static_cast<std::uint32_t>(failed_share_ * kThousandths);
}

Duration ServerAdmission::serviceTime(TimePoint now, slowdown_factor slowdown) const {
  return service_time_.current(now, slowdown).value_or(kInitialServiceTime);
}

void ServerAdmission::withdraw(AdmissionId id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return;
  }
  waiting_.erase(found->second);
  positions_.erase(found);
}

std::optional<AdmissionId> ServerAdmission::takeDispatchable(TimePoint now) {
  if (underWay() >= limit_) {
    return std::nullopt;
  }
  for (const auto& [position, waiting] : waiting_) {
    if (waiting.until < now) {
      continue;  // Returned by takeExpired().
    }
    if (!rate_.take(now)) {
      return std::nullopt;
    }
    const AdmissionId id = waiting.id;
    positions_.erase(id);
    waiting_.erase(position);
    service_time_.on_begun(now);
    return id;
  }
  return std::nullopt;
}

std::vector<AdmissionId> ServerAdmission::takeExpired(TimePoint now) {
  std::vector<AdmissionId> expired;
  for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
    if (waiting->second.until > now) {
      ++waiting;
      continue;
    }
    expired.push_back(waiting->second.id);
    positions_.erase(waiting->second.id);
    waiting = waiting_.erase(waiting);
  }
  return expired;
}

std::optional<TimePoint> ServerAdmission::nextRateToken(TimePoint now) const {
  if (waiting_.empty() || !isRateLimited()) {
    return std::nullopt;
  }
  return now + rate_.wait_for(1, now);
}

std::optional<TimePoint> ServerAdmission::nextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [position, waiting] : waiting_) {
    next = next ? std::min(*next, waiting.until) : waiting.until;
  }
  return next;
}

}  // namespace ramppond
