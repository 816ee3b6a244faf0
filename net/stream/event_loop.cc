#include "net/stream/event_loop.h"

#include <boost/asio/post.hpp>

namespace ramppond {

void EventLoop::post(std::function<void()> work) {
  boost::asio::post(context_, std::move(work));
}

void LoopTimer::after(Duration delay, std::function<void()> work) {
  cancel();
  armed_ = std::make_shared<bool>(true);
  timer_.expires_after(delay);
  timer_.async_wait([armed = armed_, work = std::move(work)](const boost::system::error_code&) {
    if (*armed) {
      *armed = false;
      work();
    }
  });
}

void LoopTimer::cancel() {
  if (armed_ == nullptr) {
    return;
  }
  const bool waiting = *armed_;
  *armed_ = false;
  armed_.reset();
  if (waiting) {
    timer_.cancel();
  }
}

}  // namespace ramppond
