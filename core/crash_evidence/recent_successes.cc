#include "core/crash_evidence/recent_successes.h"

#include <utility>

namespace ramppond {
namespace {

// A request may turn harmful when the data change that it asks for: what ended
// well longer ago than two of these proves nothing.
constexpr auto half_life = seconds(15);
// 40 bytes each: 0.7 MB in both halves.
constexpr auto most_in_half = std::size_t(8192);

}  // namespace

void good_ends::turn(TimePoint now) {
  const auto age = now - this->turned;
  if (age < half_life && this->newer.size() < most_in_half) {
    return;
  }
  this->older = std::exchange(this->newer, {});
  if (age >= 2 * half_life) {
    this->older.clear();
  }
  this->turned = now;
}

void good_ends::add(const request_digest& digest, TimePoint now) {
  this->turn(now);
  this->newer.insert(digest);
}

auto good_ends::contains(const request_digest& digest, TimePoint now) const -> bool {
  const auto age = now - this->turned;
  const auto in_newer = age<2 * half_life&& this->newer.count(digest)> 0;
  return in_newer || (age<half_life&& this->older.count(digest)> 0);
}

}  // namespace ramppond
