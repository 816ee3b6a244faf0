#include "core/crash_evidence/recent_successes.h"

#include <utility>

namespace ramppond {
namespace {

// A success counts for one to two generations. If they were shorter, requests that are sent only
// occasionally would be suspected at each crash; if longer, a request that becomes harmful because
// the requested data change would crash servers unsuspected.
constexpr auto generation_length = seconds(15);
// At 40 bytes each, both generations take 0.7 MB.
constexpr auto max_per_generation = std::size_t(8192);

}  // namespace

void recent_successes::rotate(TimePoint now) {
  const auto age = now - this->rotated_at;
  if (age < generation_length && this->newer.size() < max_per_generation) {
    return;
  }
  this->older = std::exchange(this->newer, {});
  if (age >= 2 * generation_length) {
    this->older.clear();
  }
  this->rotated_at = now;
}

void recent_successes::add(const request_digest& digest, TimePoint now) {
  this->rotate(now);
  this->newer.insert(digest);
}

auto recent_successes::contains(const request_digest& digest, TimePoint now) const -> bool {
  const auto age = now - this->rotated_at;
  if (age >= 2 * generation_length) {
    return false;
  }
  const auto in_older = age < generation_length && this->older.count(digest) != 0;
  return in_older || this->newer.count(digest) != 0;
}

}  // namespace ramppond
