// The one event loop of a process, on Boost.Asio, and its clock.
//
// Everything in net/stream runs on this loop and on one thread; nothing here locks.
#pragma once

#include <array>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "common/clock.h"
#include "core/time.h"
#include "net/stream/socket_quota.h"

namespace ramppond {

class EventLoop {
 public:
  EventLoop() : context_(1) {}
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  boost::asio::io_context& context() { return context_; }
  /// Read anew each time, not once a turn; see common/clock.h.
  [[nodiscard]] static TimePoint now() { return monotonicNow(); }
  void run() { context_.run(); }
  void stop() { context_.stop(); }
  /// Runs `work` in a later turn of the loop.
  void post(std::function<void()> work);
  /// Where connections read to; holds bytes only within one handler.
  std::array<char, 65536>& scratch() { return scratch_; }
  /// The sockets of all connections on this loop.
  socket_quota& sockets() { return sockets_; }

 private:
  boost::asio::io_context context_;
  std::array<char, 65536> scratch_{};
  socket_quota sockets_;
};

/// A timer that calls back on the loop. Destroying or setting it anew cancels what was set.
class LoopTimer {
 public:
  explicit LoopTimer(EventLoop& loop) : timer_(loop.context()) {}
  ~LoopTimer() { cancel(); }
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  void after(Duration delay, std::function<void()> work);
  void cancel();

 private:
  boost::asio::basic_waitable_timer<SuspensionClock> timer_;
  std::shared_ptr<bool> armed_;
};

}  // namespace ramppond
