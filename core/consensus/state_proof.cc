#include "core/consensus/state_proof.h"

#include <algorithm>

namespace ramppond {
namespace {

// A round costs two messages for each other member: twenty rounds a second at
// most, whatever the number of daemons that wait.
constexpr auto round_spacing = milliseconds(50);
// Answers may be lost; those of older rounds are of no use any more.
constexpr std::size_t most_rounds = 8;

}  // namespace

auto state_proof::begin(TimePoint now) -> std::optional<round_id> {
  if (this->latest_begun && now - *this->latest_begun < round_spacing) {
    return std::nullopt;
  }
  this->latest_begun = now;
  if (this->under_way.size() >= most_rounds) {
    this->under_way.erase(this->under_way.begin());
  }
  const auto id = this->next_id++;
  this->under_way[id] = {now, std::nullopt};
  return id;
}

void state_proof::on_index(round_id id, LogIndex index) {
  const auto found = this->under_way.find(id);
  if (found != this->under_way.end()) {
    found->second.index = index;
  }
}

void state_proof::on_applied(LogIndex applied) {
  for (auto it = this->under_way.begin(); it != this->under_way.end();) {
    const auto& r = it->second;
    if (!r.index || *r.index > applied) {
      ++it;
      continue;
    }
    this->proven_at = std::max(r.begun, this->proven_at.value_or(r.begun));
    it = this->under_way.erase(it);
  }
}

auto state_proof::covers(TimePoint moment) const -> bool {
  return this->proven_at && *this->proven_at >= moment;
}

}  // namespace ramppond
