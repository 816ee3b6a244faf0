#include "core/crash_evidence/recent_successes.h"

#include <utility>

namespace ramppond {
namespace {

// A success counts for one to two of these. Shorter, and requests that are sent
// now and then are suspected at each crash; longer, and one that turns harmful,
// when the data that it asks for change, crashes servers unsuspected.
constexpr auto generation_length = seconds(15);
// 40 bytes each: 0.7 MB in both generations.
constexpr auto most_in_generation = std::size_t(8192);

}  // namespace

void recent_successes::turn(TimePoint now) {
  const auto age = now - this->turned;
  if (age < generation_length && this->newer.size() < most_in_generation) {
    return;
  }
  this->older = std::exchange(this->newer, {});
  if (age >= 2 * generation_length) {
    this->older.clear();
  }
  this->turned = now;
}

void recent_successes::add(const request_digest& digest, TimePoint now) {
  this->turn(now);
  this->newer.insert(digest);
}

auto recent_successes::contains(const request_digest& digest, TimePoint now) const -> bool {
  const auto age = now - this->turned;
  if (age >= 2 * generation_length) {
    return false;
  }
  const auto in_older = age < generation_length && this->older.count(digest) != 0;
  return in_older || this->newer.count(digest) != 0;
}

}  // namespace ramppond
