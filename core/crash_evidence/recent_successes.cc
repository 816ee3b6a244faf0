#include "core/crash_evidence/recent_successes.h"

#include <utility>

namespace ramppond {
namespace {

// A request may turn harmful when the data change that it asks for: what ended
// well longer ago than two of these proves nothing.
constexpr auto generation_length = seconds(15);
// 40 bytes each: 0.7 MB in both halves.
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
  const auto in_newer = age<2 * generation_length&& this->newer.count(digest)> 0;
  return in_newer || (age<generation_length&& this->older.count(digest)> 0);
}

}  // namespace ramppond
