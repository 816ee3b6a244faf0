#include "core/call_port/admission_queue.h"

#include <limits>

namespace ramppond {

void AdmissionQueue::push(const CallId& id, Level level, TimePoint now) {
  const std::uint64_t arrival = arrivals_++;
  // By level, newer calls rank before older ones: under a standing queue the old have the least
  // time left. In FIFO order the level plays no part.
  const std::uint64_t newest_first = std::numeric_limits<std::uint64_t>::max() - arrival;
  const Rank rank = order_ == QueueOrder::kFifo ? Rank{0, arrival} : Rank{level, newest_first};
  by_rank_.emplace(rank, id);
  by_arrival_.emplace(arrival, id);
  waiting_.emplace(id, Waiting{rank, now, arrival});
}

std::optional<CallId> AdmissionQueue::take(std::map<Rank, CallId>::iterator position) {
  const CallId id = position->second;
  by_rank_.erase(position);
  const auto found = waiting_.find(id);
  by_arrival_.erase(found->second.arrival);
  waiting_.erase(found);
  return id;
}

std::optional<CallId> AdmissionQueue::popBest() {
  if (by_rank_.empty()) {
    return std::nullopt;
  }
  return take(by_rank_.begin());
}

std::optional<CallId> AdmissionQueue::popWorst() {
  if (by_rank_.empty()) {
    return std::nullopt;
  }
  return take(std::prev(by_rank_.end()));
}

bool AdmissionQueue::remove(const CallId& id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return false;
  }
  take(by_rank_.find(found->second.rank));
  return true;
}

std::vector<CallId> AdmissionQueue::removeArrivedBefore(TimePoint cutoff) {
  std::vector<CallId> removed;
  while (!by_arrival_.empty()) {
    const CallId id = by_arrival_.begin()->second;
    if (waiting_.at(id).arrived >= cutoff) {
      break;
    }
    remove(id);
    removed.push_back(id);
  }
  return removed;
}

}  // namespace ramppond
