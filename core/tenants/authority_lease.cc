#include "core/tenants/authority_lease.h"

#include <algorithm>

namespace ramppond {
namespace {

// A coordinator may hold a poll before it answers, which leaves the lease at most two tenths old;
// eight tenths remain for an election or a restart of all coordinators. Fewer renewals let the
// lease expire during these; more cost additional polls and quorum confirmations.
constexpr auto renewals_per_lease = 10;
// The lease is fresh for its length divided by this. A proxy that gets answers renews it well
// within that time. With a larger divisor a single lost answer delays valid requests; with a
// smaller one a new key is refused permanently for longer.
constexpr auto fresh_divisor = 3;

}  // namespace

void authority_lease::on_confirmed(TimePoint asked_at) {
  this->start = std::max(asked_at, this->start.value_or(asked_at));
}

auto authority_lease::at(TimePoint now) const -> authority {
  if (!this->length) {
    return authority::fresh;
  }
  if (!this->start || now - *this->start >= *this->length) {
    return authority::expired;
  }
  return now - *this->start < *this->length / fresh_divisor ? authority::fresh : authority::stale;
}

auto authority_lease::renewal_interval() const -> std::optional<Duration> {
  if (!this->length) {
    return std::nullopt;
  }
  return *this->length / renewals_per_lease;
}

}  // namespace ramppond
