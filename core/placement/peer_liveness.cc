#include "core/placement/peer_liveness.h"

namespace ramppond {
namespace {

// Longer than most requests take, so that pings stay rare.
constexpr auto quiet_time = milliseconds(400);
// Above the pause of a process whose share of a core is a quota of each tenth of
// a second.
constexpr auto ping_patience = milliseconds(250);

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
    if (this->silent || now - *this->pinged < ping_patience) {
      return liveness_step::none;
    }
    this->silent = true;
    return liveness_step::became_silent;
  }
  const auto quiet = this->silent ? std::optional<TimePoint>(this->last_ping) : this->waiting_since;
  if (!quiet || now - *quiet < quiet_time) {
    return liveness_step::none;
  }
  this->pinged = now;
  this->last_ping = now;
  return liveness_step::ping;
}

}  // namespace ramppond
