#include "core/placement/peer_liveness.h"

namespace ramppond {
namespace {

// A peer with outstanding requests is pinged after this time of silence. It is longer than most
// requests take, so that pings stay rare. With a longer time more requests go to a frozen peer.
constexpr auto silence_before_ping = milliseconds(400);
// A process whose CPU time is limited in periods of 100 ms may pause for most of two periods. With
// a shorter timeout it would be taken for frozen.
constexpr auto ping_timeout = milliseconds(250);

}  // namespace

void peer_liveness::on_sent(TimePoint now) {
  if (!this->waiting_since) {
    this->waiting_since = now;
  }
}

void peer_liveness::on_heard(TimePoint now, std::uint32_t outstanding) {
  this->silent = false;
  this->pinged.reset();
  this->waiting_since.reset();
  if (outstanding > 0) {
    this->waiting_since = now;
  }
}

auto peer_liveness::check(TimePoint now) -> liveness_step {
  if (this->pinged) {
    if (this->silent || now - *this->pinged < ping_timeout) {
      return liveness_step::none;
    }
    this->silent = true;
    return liveness_step::became_silent;
  }
  const auto since = this->silent ? std::optional<TimePoint>(this->last_ping) : this->waiting_since;
  if (!since || now - *since < silence_before_ping) {
    return liveness_step::none;
  }
  this->pinged = now;
  this->last_ping = now;
  return liveness_step::ping;
}

}  // namespace ramppond
