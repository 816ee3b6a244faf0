#include "lab/timer_thread.h"

#include "common/process.h"

namespace ramppond {

TimerThread::TimerThread() : thread_([this] { run(); }) {}

TimerThread::~TimerThread() {
  stop();
}

void TimerThread::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TimerThread::after(Duration delay, std::function<void()> function) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    timers_.emplace(monotonicNow() + delay, std::move(function));
  }
  wake_.notify_one();
}

void TimerThread::run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (timers_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const TimePoint due = timers_.begin()->first;
    const TimePoint now = monotonicNow();
    if (now < due) {
      wake_.wait_for(lock, due - now);
      continue;
    }
    const std::function<void()> function = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace ramppond
