// Virtual time: functions run in order of time, and in order of scheduling within one moment.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>

#include "core/time.h"

namespace ramppond {

class EventQueue {
 public:
  [[nodiscard]] TimePoint now() const { return now_; }

  void at(TimePoint time, std::function<void()> function) {
    events_.push({std::max(time, now_), next_order_++, std::move(function)});
  }
  void after(Duration delay, std::function<void()> function) {
    at(now_ + delay, std::move(function));
  }
  /// Runs everything up to and including `end`.
  void runUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The heap gives const access only; the function is moved out right before the pop.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.function();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> function;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  TimePoint now_{0};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace ramppond
