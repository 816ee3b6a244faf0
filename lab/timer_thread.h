// Runs functions at later moments on one thread.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "core/time.h"

namespace ramppond {

class TimerThread {
 public:
  TimerThread();
  ~TimerThread();
  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;
  /// Thread safe.
  void after(Duration delay, std::function<void()> function);
  /// Drops what has not run yet and ends the thread.
  void stop();

 private:
  void run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<TimePoint, std::function<void()>> timers_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ramppond
