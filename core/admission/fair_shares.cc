#include "core/admission/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// Bounds memory (about 250 bytes each).
constexpr std::size_t max_callers = 10000;
// A request that holds a slot for longer is charged this much, so that a single one, or a wrong
// value, does not put its caller beyond its share for long.
constexpr auto max_cost = seconds(10);
// Time constant of the recent work. With a shorter one bursts of single callers look like an
// excess; with a longer one a caller that grows is known late.
constexpr auto recent_time = milliseconds(1000);
// Interval between two divisions. With a longer one the shares follow the demand late; with a
// shorter one each request costs more.
constexpr auto division_interval = milliseconds(100);
// Part of the slots that is divided. With more, the work within the shares alone fills the queue;
// with less, slots are idle while callers are told that they exceed their shares.
constexpr double divided_part = 0.97;
// A caller with less recent work than so many of its requests is within its share: so few say
// nothing of its volume.
constexpr double min_requests = 4;
// A caller may exceed an equal part by so many times the square root of its requests in it: the
// volume of equal callers varies so much, and calls that are refused for it waste the work done for
// their call trees.
constexpr double tolerated_deviations = 3;
// If more callers of a rank are beyond their shares, its requests are queued in the usual order:
// there is hardly anyone to protect, and calls that are refused waste the work done for their call
// trees.
constexpr double max_part_beyond = 0.75;
// A caller is alone if no other has sent a request for this time: longer than the usual interval
// between the requests of a caller that uses the server at all.
constexpr auto alone_after = seconds(5);
// Callers with less recent work, in microseconds of a slot, are faded.
constexpr double min_work = 100;

auto recent_decay(Duration age) -> double {
  return std::exp(-static_cast<double>(std::max(age, Duration(0)).count()) /
                  static_cast<double>(Duration(recent_time).count()));
}

auto work_of(Duration time) -> double {
  return static_cast<double>(std::clamp<Duration>(time, Duration(1), max_cost).count());
}

}  // namespace

auto fair_shares::account::work_at(TimePoint now) const -> double {
  return this->work * recent_decay(now - this->updated);
}

void fair_shares::become_idle(account& caller) {
  caller.idle_number = this->next_idle_number++;
  this->idle[caller.idle_number] = &caller;
}

void fair_shares::evict_idle() {
  if (this->idle.empty()) {
    return;
  }
  auto& caller = *this->idle.begin()->second;
  const auto key = *caller.key;
  auto& rank = this->rank_of(caller);
  if (rank.latest == &caller) {
    rank.latest = nullptr;
    rank.other_seen = rank.latest_seen;
  }
  rank.accounts -= 1;
  if (rank.accounts == 0) {
    this->ranks.erase(key.rank);
  }
  this->recent.erase(&caller);
  this->idle.erase(this->idle.begin());
  this->accounts.erase(key);
}

// Returns nullptr if the caller is new and all tracked ones have open requests. Its requests are
// then within their share and not charged.
auto fair_shares::account_of(const share_key& key) -> account* {
  const auto found = this->accounts.find(key);
  if (found != this->accounts.end()) {
    return &found->second;
  }
  if (this->accounts.size() >= max_callers) {
    this->evict_idle();
  }
  if (this->accounts.size() >= max_callers) {
    return nullptr;
  }
  const auto added = this->accounts.emplace(key, account()).first;
  added->second.key = &added->first;
  this->become_idle(added->second);
  this->ranks[key.rank].accounts += 1;
  return &added->second;
}

auto fair_shares::alone_in(const rank_state& rank, const account* caller, TimePoint now) -> bool {
  if (rank.latest != nullptr && rank.latest != caller) {
    return now - rank.latest_seen > alone_after;
  }
  return !rank.other_seen || now - *rank.other_seen > alone_after;
}

void fair_shares::note_offer(rank_state& rank, const account& caller, TimePoint now) {
  if (rank.latest != nullptr && rank.latest != &caller) {
    rank.other_seen = rank.latest_seen;
  }
  rank.latest = &caller;
  rank.latest_seen = now;
}

auto fair_shares::recent_demands(TimePoint now) -> std::vector<demand> {
  auto demands = std::vector<demand>();
  for (auto it = this->recent.begin(); it != this->recent.end();) {
    const auto work = (*it)->work_at(now);
    if (work < min_work) {
      it = this->recent.erase(it);
      continue;
    }
    demands.push_back({work, (*it)->key->rank});
    ++it;
  }
  std::sort(demands.begin(), demands.end(), [](const demand& left, const demand& right) {
    return std::tie(left.rank, left.work) < std::tie(right.rank, right.work);
  });
  return demands;
}

// Water-filling: in the order of their work, each caller gets what it asks for or an equal part of
// what is left, whichever is less.
void fair_shares::divide(double capacity, TimePoint now) {
  if (now - this->divided < division_interval) {
    return;
  }
  this->divided = now;
  const auto demands = this->recent_demands(now);
  for (auto& [number, rank] : this->ranks) {
    rank.fair_work = std::numeric_limits<double>::infinity();
    rank.is_overloaded_by_most = false;
  }
  auto left = capacity * divided_part * static_cast<double>(Duration(recent_time).count());
  for (auto it = demands.begin(); it != demands.end();) {
    auto& rank = this->ranks[it->rank];
    const auto end = std::find_if(it, demands.end(),
                                  [&](const demand& other) { return other.rank != it->rank; });
    const auto callers = static_cast<double>(std::distance(it, end));
    rank.equal_work = left / callers;
    for (; it != end; ++it) {
      const auto part = left / static_cast<double>(std::distance(it, end));
      if (it->work > part) {
        rank.fair_work = part;
        rank.is_overloaded_by_most =
            static_cast<double>(std::distance(it, end)) > callers * max_part_beyond;
        left = 0;
        it = end;
        break;
      }
      left -= it->work;
    }
  }
}

auto fair_shares::excess_in(const rank_state& rank, const account& caller, TimePoint now)
    -> double {
  const auto work = caller.work_at(now);
  const auto deviation = std::sqrt(rank.equal_work * caller.last_cost);
  if (work <= rank.equal_work + deviation * tolerated_deviations) {
    return 0;
  }
  const auto share = std::max(rank.fair_work, caller.last_cost * min_requests);
  return work > share ? 1 - share / work : 0;
}

auto fair_shares::judge(const share_key& key, Duration cost, double capacity, TimePoint now)
    -> share_standing {
  auto* const caller = this->account_of(key);
  if (caller == nullptr) {
    return share_standing::within;
  }
  this->divide(capacity, now);
  caller->last_cost = work_of(cost);
  caller->work = caller->work_at(now) + caller->last_cost;
  caller->updated = now;
  this->recent.insert(caller);
  auto& rank = this->rank_of(*caller);
  note_offer(rank, *caller, now);
  const auto excess = rank.is_overloaded_by_most ? 0 : excess_in(rank, *caller, now);
  caller->deficit = std::min(1.0, caller->deficit + 1 - excess);
  if (caller->deficit < 1) {
    return share_standing::beyond;
  }
  caller->deficit -= 1;
  return share_standing::within;
}

void fair_shares::open(request_id id, const share_key& key, Duration cost, bool queued) {
  auto* const caller = this->account_of(key);
  if (caller == nullptr) {
    return;
  }
  if (caller->open == 0) {
    this->idle.erase(caller->idle_number);
  }
  caller->open += 1;
  if (queued) {
    this->rank_of(*caller).queued_callers += caller->queued == 0 ? 1 : 0;
    caller->queued += 1;
  }
  this->requests[id] = {caller, cost, queued};
}

void fair_shares::on_dispatched(request_id id, const share_key& key, Duration cost) {
  this->open(id, key, cost, false);
}

void fair_shares::on_queued(request_id id, const share_key& key, Duration cost, TimePoint now) {
  this->last_queued = now;
  this->open(id, key, cost, true);
}

void fair_shares::leave_queue(open_request& request) {
  if (!request.queued) {
    return;
  }
  request.queued = false;
  request.caller->queued -= 1;
  this->rank_of(*request.caller).queued_callers -= request.caller->queued == 0 ? 1 : 0;
}

void fair_shares::on_dequeued(request_id id) {
  const auto found = this->requests.find(id);
  if (found != this->requests.end()) {
    this->leave_queue(found->second);
  }
}

void fair_shares::close(std::map<request_id, open_request>::iterator request) {
  this->leave_queue(request->second);
  auto& caller = *request->second.caller;
  this->requests.erase(request);
  caller.open -= 1;
  if (caller.open == 0) {
    this->become_idle(caller);
  }
}

void fair_shares::on_unserved(request_id id) {
  const auto found = this->requests.find(id);
  if (found != this->requests.end()) {
    this->close(found);
  }
}

void fair_shares::on_ended(request_id id, Duration used, TimePoint now) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return;
  }
  auto& caller = *found->second.caller;
  const auto correction = work_of(used) - work_of(found->second.cost);
  caller.work = std::max(0.0, caller.work_at(now) + correction);
  caller.updated = now;
  this->close(found);
}

auto fair_shares::is_alone(const share_key& key, TimePoint now) const -> bool {
  const auto rank = this->ranks.find(key.rank);
  const auto caller = this->accounts.find(key);
  const auto* const known = caller == this->accounts.end() ? nullptr : &caller->second;
  return rank == this->ranks.end() || alone_in(rank->second, known, now);
}

auto fair_shares::is_contended(std::uint32_t rank) const -> bool {
  const auto found = this->ranks.find(rank);
  return found != this->ranks.end() && found->second.queued_callers > 1;
}

auto fair_shares::has_others_queued(const share_key& key) const -> bool {
  const auto rank = this->ranks.find(key.rank);
  const auto caller = this->accounts.find(key);
  const auto own = caller != this->accounts.end() && caller->second.queued > 0 ? 1U : 0U;
  return rank != this->ranks.end() && rank->second.queued_callers > own;
}

auto fair_shares::excess(const share_key& key, TimePoint now) const -> double {
  const auto found = this->accounts.find(key);
  const auto is_idle = !this->last_queued || now - *this->last_queued > recent_time;
  if (found == this->accounts.end() || is_idle || this->is_alone(key, now)) {
    return 0;
  }
  return excess_in(this->ranks.at(key.rank), found->second, now);
}

auto fair_shares::summary(TimePoint now) const -> share_summary {
  auto summary = share_summary();
  summary.refused = this->refused;
  auto total = 0.0;
  auto most = 0.0;
  for (const auto& [key, caller] : this->accounts) {
    const auto work = caller.work_at(now);
    if (work < min_work) {
      continue;
    }
    summary.callers += 1;
    summary.callers_beyond += this->excess(key, now) > 0 ? 1 : 0;
    total += work;
    if (work > most) {
      most = work;
      summary.largest = key.caller;
    }
  }
  summary.largest_share = total > 0 ? most / total : 0;
  return summary;
}

}  // namespace ramppond
