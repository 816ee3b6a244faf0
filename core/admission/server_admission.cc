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
  const TimePoint due = now + request.patience + request.service_time.value_or(Duration(0));
  return {rankOf(request), false, due, arrivals_++};
}

std::uint32_t ServerAdmission::rankOf(const AdmissionRequest& request) const {
  if (shares_ && request.root) {
    return request.root->rank;
  }
  return std::min(request.priority, most_urgent_call_.value_or(request.priority));
}

share_key ServerAdmission::shareKeyOf(const AdmissionRequest& request) const {
  const bool known = request.root && !request.root->caller.empty();
  return {rankOf(request), known ? request.root->caller : request.calling_service};
}

Duration ServerAdmission::costOf(const AdmissionRequest& request) const {
  const Duration usual =
      request.service_time.value_or(service_time_.smoothed().value_or(kInitialServiceTime));
  return slowed(usual, request.slowdown);
}

double ServerAdmission::usableSlots(slowdown_factor slowdown, TimePoint now) const {
  const double slots = static_cast<double>(limit_);
  const double service_seconds = std::chrono::duration<double>(serviceTime(now, slowdown)).count();
  return named_rate_ ? std::min(slots, named_rate_->per_second * service_seconds) : slots;
}

void ServerAdmission::setFairShares(bool active) {
  if (active && !shares_) {
    shares_.emplace();
  } else if (!active) {
    shares_.reset();
  }
}

double ServerAdmission::excessOf(const AdmissionRequest& request, TimePoint now) const {
  return shares_ ? shares_->excess(shareKeyOf(request), now) : 0;
}

std::size_t ServerAdmission::requestsUpTo(const Position& position, QueueOrder order) const {
  if (order == QueueOrder::kByShareThenDue || !shares_) {
    const auto ahead = std::distance(waiting_.begin(), waiting_.lower_bound(position));
    return static_cast<std::size_t>(ahead) + 1;
  }
  const auto within = waiting_.lower_bound({position.rank, false, position.due, position.arrival});
  const auto first_beyond = waiting_.lower_bound({position.rank, true, TimePoint(0), 0});
  const auto beyond = waiting_.lower_bound({position.rank, true, position.due, position.arrival});
  const auto ahead = std::distance(waiting_.begin(), within) + std::distance(first_beyond, beyond);
  return static_cast<std::size_t>(ahead) + 1;
}

ServerAdmission::Waits ServerAdmission::waitsAt(const Position& position, QueueOrder order,
                                                slowdown_factor slowdown, TimePoint now) const {
  const std::size_t requests = requestsUpTo(position, order);
  const Duration for_slot =
      slowed(service_time_.smoothed().value_or(kInitialServiceTime), slowdown) *
      static_cast<std::int64_t>(requests) / static_cast<std::int64_t>(limit_);
  return {for_slot, rate_.wait_for(requests, now)};
}

double ServerAdmission::utilization(TimePoint now) const {
  const double slots = static_cast<double>(underWay()) / static_cast<double>(limit_);
  return std::min(1.0, std::max(slots, rate_.demand(now)));
}

void ServerAdmission::setRate(std::optional<request_rate> rate, TimePoint now) {
  rate_.set(rate, now);
  named_rate_ = rate;
}

AdmissionVerdict ServerAdmission::offer(const AdmissionRequest& request, TimePoint now) {
  if (request.is_call && !(shares_ && request.root)) {
    noteCallPriority(request.priority, now);
  }
  rate_.on_offer(now);
  if (underWay() < limit_ && waiting_.empty() && rate_.take(now)) {
    service_time_.on_begun(now);
    overload_.on_offer({utilization(now), Duration(0), request.reference_wait}, now);
    if (shares_) {
      const share_key key = shareKeyOf(request);
      shares_->judge(key, costOf(request), usableSlots(request.slowdown, now), now);
      shares_->on_dispatched(request.id, key, costOf(request));
    }
    return AdmissionVerdict::kDispatch;
  }
  return offerToQueue(request, now);
}

AdmissionVerdict ServerAdmission::offerToQueue(const AdmissionRequest& request, TimePoint now) {
  Position position = positionOf(request, now);
  if (!shares_) {
    const Waits waits = waitsAt(position, QueueOrder::kByDue, request.slowdown, now);
    overload_.on_offer({1, std::max(waits.for_slot, waits.for_rate), request.reference_wait}, now);
    const AdmissionVerdict verdict = judgeWaits(request, position, waits);
    if (verdict == AdmissionVerdict::kWait) {
      enqueue(request, position, now);
    }
    return verdict;
  }
  const share_key key = shareKeyOf(request);
  const QueueOrder order =
      shares_->has_others_queued(key) ? QueueOrder::kByShareThenDue : QueueOrder::kByDue;
  const share_standing standing =
      shares_->judge(key, costOf(request), usableSlots(request.slowdown, now), now);
  position.beyond = standing == share_standing::beyond;
  const Waits waits = waitsAt(position, order, request.slowdown, now);
  // The level is for the callers within their shares: the others are told their excess.
  if (!position.beyond || shares_->is_alone(key, now)) {
    overload_.on_offer({1, std::max(waits.for_slot, waits.for_rate), request.reference_wait}, now);
  }
  const AdmissionVerdict verdict = judgeWaits(request, position, waits);
  if (verdict == AdmissionVerdict::kWait) {
    shares_->on_queued(request.id, key, costOf(request), now);
    enqueue(request, position, now);
  } else {
    noteUnserved(position);
  }
  return verdict;
}

AdmissionVerdict ServerAdmission::judgeWaits(const AdmissionRequest& request,
                                             const Position& position, const Waits& waits) {
  if (waits.for_rate > request.patience) {
    return AdmissionVerdict::kRefuseForRate;
  }
  if (waits.for_slot > request.patience || !makeRoom(position)) {
    return AdmissionVerdict::kRefuse;
  }
  return AdmissionVerdict::kWait;
}

// A request of a more urgent rank is never removed for one of a less urgent rank.
bool ServerAdmission::makeRoom(const Position& position) {
  if (waiting_.size() < kMaximumWaiting) {
    return true;
  }
  if (!shares_ || position.beyond || beyond_.empty() || beyond_.rbegin()->rank < position.rank) {
    return false;
  }
  const auto last = waiting_.find(*beyond_.rbegin());
  evicted_.push_back(last->second.id);
  noteUnserved(last->first);
  removeUnserved(last);
  return true;
}

void ServerAdmission::enqueue(const AdmissionRequest& request, const Position& position,
                              TimePoint now) {
  waiting_[position] = {request.id, now + request.patience};
  positions_[request.id] = position;
  if (position.beyond) {
    beyond_.insert(position);
  }
}

void ServerAdmission::noteUnserved(const Position& position) {
  if (shares_ && position.beyond && shares_->is_contended(position.rank)) {
    shares_->on_refused_for_others();
  }
}

ServerAdmission::Queue::iterator ServerAdmission::removeUnserved(Queue::iterator waiting) {
  if (shares_) {
    shares_->on_unserved(waiting->second.id);
  }
  beyond_.erase(waiting->first);
  positions_.erase(waiting->second.id);
  return waiting_.erase(waiting);
}

void ServerAdmission::onFinished(TimePoint begun, ServerOutcome outcome, TimePoint now,
                                 AdmissionId id, std::optional<Duration> usual_time) {
  if (shares_) {
    shares_->on_ended(id, now - begun, now);
  }
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
  removeUnserved(waiting_.find(found->second));
}

// Expired requests are left to takeExpired().
ServerAdmission::Queue::iterator ServerAdmission::firstUnexpired(Queue::iterator from,
                                                                 TimePoint now) {
  return std::find_if(from, waiting_.end(),
                      [&](const auto& waiting) { return waiting.second.until >= now; });
}

// Requests of a single caller are dispatched in the order of their due times: its share matters
// only to others.
ServerAdmission::Queue::iterator ServerAdmission::nextInOrder(TimePoint now) {
  const auto first = firstUnexpired(waiting_.begin(), now);
  if (!shares_ || first == waiting_.end() || first->first.beyond ||
      shares_->is_contended(first->first.rank)) {
    return first;
  }
  const Position first_beyond = {first->first.rank, true, TimePoint(0), 0};
  const auto beyond = firstUnexpired(waiting_.lower_bound(first_beyond), now);
  const bool is_earlier = beyond != waiting_.end() && beyond->first.rank == first->first.rank &&
                          beyond->first.due < first->first.due;
  return is_earlier ? beyond : first;
}

std::optional<AdmissionId> ServerAdmission::takeDispatchable(TimePoint now) {
  if (underWay() >= limit_) {
    return std::nullopt;
  }
  const auto next = nextInOrder(now);
  if (next == waiting_.end() || !rate_.take(now)) {
    return std::nullopt;
  }
  const AdmissionId id = next->second.id;
  beyond_.erase(next->first);
  positions_.erase(id);
  waiting_.erase(next);
  service_time_.on_begun(now);
  if (shares_) {
    shares_->on_dequeued(id);
  }
  return id;
}

std::vector<AdmissionId> ServerAdmission::takeExpired(TimePoint now) {
  std::vector<AdmissionId> expired;
  for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
    if (waiting->second.until > now) {
      ++waiting;
      continue;
    }
    expired.push_back(waiting->second.id);
    noteUnserved(waiting->first);
    waiting = removeUnserved(waiting);
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
