#include "core/crash_evidence/isolation_queue.h"

#include <algorithm>

namespace ramppond {

auto isolation_queue::enter(request_id id, TimePoint wait_deadline) -> bool {
  if (!this->running && this->queue.empty()) {
    this->running = id;
    return true;
  }
  this->queue.push_back({id, wait_deadline});
  return false;
}

void isolation_queue::leave(request_id id) {
  if (this->running == id) {
    this->running.reset();
    return;
  }
  this->queue.erase(std::remove_if(this->queue.begin(), this->queue.end(),
                                   [&](const waiter& w) { return w.id == id; }),
                    this->queue.end());
}

auto isolation_queue::take_next() -> std::optional<request_id> {
  if (this->running || this->queue.empty()) {
    return std::nullopt;
  }
  this->running = this->queue.front().id;
  this->queue.pop_front();
  return this->running;
}

auto isolation_queue::take_expired(TimePoint now) -> std::vector<request_id> {
  auto expired = std::vector<request_id>();
  auto kept = std::deque<waiter>();
  for (const auto& w : this->queue) {
    if (w.wait_deadline <= now) {
      expired.push_back(w.id);
    } else {
      kept.push_back(w);
    }
  }
  this->queue = std::move(kept);
  return expired;
}

auto isolation_queue::next_expiry() const -> std::optional<TimePoint> {
  auto next = std::optional<TimePoint>();
  for (const auto& w : this->queue) {
    next = std::min(next.value_or(w.wait_deadline), w.wait_deadline);
  }
  return next;
}

}  // namespace ramppond
