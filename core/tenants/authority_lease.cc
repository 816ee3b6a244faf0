#include "core/tenants/authority_lease.h"

#include <algorithm>

namespace ramppond {
namespace {

// An answer that a coordinator held leaves the lease two tenths old at most, so
// that eight tenths are left for an election or a restart of all coordinators.
// Fewer: the lease lapses meanwhile. More: more polls and proofs.
constexpr auto renewals_per_lease = 10;
// The lease is fresh for its length divided by this. A proxy that gets answers
// renews it well within that time. Larger: valid requests are put off by single
// lost answers. Smaller: a new key is refused for good for longer.
constexpr auto fresh_divisor = 3;

}  // namespace

void authority_lease::on_confirmed(TimePoint asked) {
  this->start = std::max(asked, this->start.value_or(asked));
}

auto authority_lease::at(TimePoint now) const -> authority {
  if (!this->length) {
    return authority::fresh;
  }
  if (!this->start || now - *this->start >= *this->length) {
    return authority::lapsed;
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
