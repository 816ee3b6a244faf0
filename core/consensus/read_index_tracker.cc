#include "core/consensus/read_index_tracker.h"

#include <algorithm>

namespace ramppond {
namespace {

// A round costs two messages per other member. This allows at most 20 rounds
// per second, however many daemons wait.
constexpr auto min_round_interval = milliseconds(50);
// Bounds memory when answers are lost. The oldest round is dropped first: a
// later round confirms everything that it would have confirmed.
constexpr std::size_t max_rounds_in_flight = 8;

}  // namespace

auto read_index_tracker::begin(TimePoint now) -> std::optional<round_id> {
  if (this->last_started_at && now - *this->last_started_at < min_round_interval) {
    return std::nullopt;
  }
  this->last_started_at = now;
  if (this->in_flight.size() >= max_rounds_in_flight) {
    this->in_flight.erase(this->in_flight.begin());
  }
  const auto id = this->next_id++;
  this->in_flight[id] = {now, std::nullopt};
  return id;
}

void read_index_tracker::on_read_index(round_id id, LogIndex index) {
  const auto found = this->in_flight.find(id);
  if (found != this->in_flight.end()) {
    found->second.index = index;
  }
}

void read_index_tracker::on_applied(LogIndex applied) {
  for (auto it = this->in_flight.begin(); it != this->in_flight.end();) {
    const auto& r = it->second;
    if (!r.index || *r.index > applied) {
      ++it;
      continue;
    }
    this->confirmed_at = std::max(r.started_at, this->confirmed_at.value_or(r.started_at));
    it = this->in_flight.erase(it);
  }
}

auto read_index_tracker::covers(TimePoint moment) const -> bool {
  return this->confirmed_at && *this->confirmed_at >= moment;
}

}  // namespace ramppond
