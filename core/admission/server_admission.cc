#include "core/admission/server_admission.h"

#include <algorithm>
#include <iterator>

namespace ramppond {
namespace {

// Servers slow down when nearly full; this share of the slots stays below every knee described.
constexpr std::uint32_t kUsablePercent = 94;
// Memory stays bounded whatever the patience of those who wait.
constexpr std::size_t kMaximumWaiting = 512;
// Weight of one answer in the smoothed service time.
constexpr std::int64_t kSmoothing = 16;
// A client's request may be taken for a call until its route is known; such a rank is forgotten.
constexpr Duration kCallRankRemembered = seconds(5);

}  // namespace

void ServerAdmission::setSlots(std::uint32_t slots, std::uint32_t max_connections) {
  const std::uint32_t most = max_connections == 0 ? slots : std::min(slots, max_connections);
  const std::uint64_t usable = std::uint64_t{most} * kUsablePercent / 100;
  limit_ = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable));
}

void ServerAdmission::noteCall(std::uint32_t priority, TimePoint now) {
  const bool forgotten = now - most_urgent_call_seen_ > kCallRankRemembered;
  if (forgotten || priority <= most_urgent_call_.value_or(priority)) {
    most_urgent_call_ = priority;
    most_urgent_call_seen_ = now;
  }
}

std::uint32_t ServerAdmission::rankOf(const AdmissionRequest& request) const {
  return std::min(request.priority, most_urgent_call_.value_or(request.priority));
}

std::size_t ServerAdmission::waitingBefore(const Position& position) const {
  return static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.lower_bound(position)));
}

double ServerAdmission::utilization() const {
  return static_cast<double>(under_way_) / static_cast<double>(limit_);
}

AdmissionVerdict ServerAdmission::offer(const AdmissionRequest& request, TimePoint now) {
  if (request.is_call) {
    noteCall(request.priority, now);
  }
  if (under_way_ < limit_ && waiting_.empty()) {
    under_way_ += 1;
    overload_.on_offer({utilization(), Duration(0), request.pressing_wait}, now);
    begun_sum_ += now;
    counters_.dispatched += 1;
    return AdmissionVerdict::kDispatch;
  }
  const TimePoint due = now + request.patience + request.service_time.value_or(Duration(0));
  const Position position = {rankOf(request), due, arrivals_++};
  const auto ahead = static_cast<std::int64_t>(waitingBefore(position) + 1);
  const Duration wait = service_time_ * ahead / static_cast<std::int64_t>(limit_);
  overload_.on_offer({1, wait, request.pressing_wait}, now);
  if (waiting_.size() >= kMaximumWaiting || wait > request.patience) {
    counters_.refused_full += 1;
    return AdmissionVerdict::kRefuse;
  }
  waiting_[position] = {request.id, now + request.patience};
  positions_[request.id] = position;
  counters_.waited += 1;
  return AdmissionVerdict::kWait;
}

void ServerAdmission::onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now) {
  if (under_way_ == 0) {
    return;
  }
  under_way_ -= 1;
  begun_sum_ -= begun;
  const bool done = isWork(outcome);
  if (done) {
    service_time_ += (now - begun - service_time_) / kSmoothing;
  }
  if (outcome != ServerOutcome::kWithdrawn) {
    failed_ += ((done ? 0.0 : 1.0) - failed_) / static_cast<double>(kSmoothing);
  }
}

std::uint32_t ServerAdmission::failedPermille() const {
  constexpr double kThousand = 1000;
  return static_cast<std::uint32_t>(failed_ * kThousand);
}

Duration ServerAdmission::serviceTime(TimePoint now) const {
  if (under_way_ == 0) {
    return service_time_;
  }
  return std::max(service_time_, now - begun_sum_ / static_cast<std::int64_t>(under_way_));
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
  if (under_way_ >= limit_) {
    return std::nullopt;
  }
  for (const auto& [position, waiting] : waiting_) {
    if (waiting.until < now) {
      continue;  // takeExpired() gives it its refusal.
    }
    const AdmissionId id = waiting.id;
    positions_.erase(id);
    waiting_.erase(position);
    under_way_ += 1;
    begun_sum_ += now;
    counters_.dispatched += 1;
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
  counters_.refused_late += expired.size();
  return expired;
}

std::optional<TimePoint> ServerAdmission::nextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [position, waiting] : waiting_) {
    next = next ? std::min(*next, waiting.until) : waiting.until;
  }
  return next;
}

Duration ServerAdmission::expectedWait() const {
  if (under_way_ < limit_) {
    return Duration(0);
  }
  return service_time_ * static_cast<std::int64_t>(waiting_.size() + 1) /
         static_cast<std::int64_t>(limit_);
}

}  // namespace ramppond
