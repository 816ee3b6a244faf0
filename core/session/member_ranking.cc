#include "core/session/member_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

// Pause before a proxy returns to its failed first choice, doubled with each return that failed. A
// coordinator that was restarted, replaced or cut off is mostly back by then. Shorter: proxies ask
// one that still fails. Longer: they stay with others, mostly in other zones.
constexpr auto return_pause = seconds(10);
constexpr auto max_return_doublings = std::uint32_t(2);
// A coordinator that joins gets its share of the proxies over this time. Shorter: connections and
// first answers of all of them at once. Longer: it stays idle.
constexpr auto move_spread = seconds(5);
// Former addresses that are asked when no other answers, since all coordinators may have been
// replaced while this proxy was cut off. Each one that is gone costs the time of a failed poll.
constexpr auto max_former = std::size_t(4);

auto weight(std::uint64_t key, const std::string& member) -> std::uint64_t {
  return XXH3_64bits_withSeed(member.data(), member.size(), key);
}

auto contains(const std::vector<std::string>& list, const std::string& member) -> bool {
  return std::find(list.begin(), list.end(), member) != list.end();
}

}  // namespace

member_ranking::member_ranking(ranked_proxy proxy, const std::vector<std::string>& seeds)
    : proxy(std::move(proxy)), random(this->proxy.key), seeds(seeds) {
  this->rank(std::string());
}

void member_ranking::set_seeds(const std::vector<std::string>& seeds) {
  const auto asked = this->order.empty() ? std::string() : this->current();
  this->seeds = seeds;
  this->rank(asked);
}

void member_ranking::on_members(std::vector<ControlMemberLocation> members, TimePoint now) {
  std::sort(members.begin(), members.end(),
            [](const auto& left, const auto& right) { return left.address < right.address; });
  if (members.empty() || members == this->members) {
    return;
  }
  const auto first_report = this->members.empty();
  const auto asked = this->order.empty() ? std::string() : this->current();
  this->members = std::move(members);
  this->rank(asked);
  this->failed_returns = 0;
  if (this->position != 0) {
    this->schedule_return(now, Duration(0), first_report ? Duration(0) : Duration(move_spread));
  }
}

void member_ranking::on_answered() {
  this->failed_returns = this->position == 0 ? 0 : this->failed_returns;
}

void member_ranking::on_failed(TimePoint now) {
  if (this->order.empty()) {
    return;
  }
  if (this->position == 0) {
    const auto doublings = std::min(this->failed_returns, max_return_doublings);
    const auto pause = Duration(return_pause) * (std::int64_t(1) << doublings);
    this->schedule_return(now, pause, pause);
    this->failed_returns += 1;
  }
  this->position = (this->position + 1) % this->order.size();
}

auto member_ranking::return_if_due(TimePoint now) -> bool {
  if (!this->return_at || now < *this->return_at) {
    return false;
  }
  this->return_at.reset();
  return std::exchange(this->position, 0) != 0;
}

void member_ranking::schedule_return(TimePoint now, Duration pause, Duration spread) {
  const auto jitter = this->random.below(static_cast<std::uint64_t>(spread.count()));
  this->return_at = now + pause + Duration(static_cast<std::int64_t>(jitter));
}

// Keeps asking `keep` while it stands anywhere in the new order.
void member_ranking::rank(const std::string& keep) {
  for (const auto& member : this->order) {
    if (!contains(this->former, member)) {
      this->former.push_back(member);
    }
  }
  if (this->former.size() > max_former) {
    this->former.erase(this->former.begin(), this->former.end() - max_former);
  }
  this->order.clear();
  auto near = std::vector<std::string>();
  auto far = std::vector<std::string>();
  for (const auto& member : this->members) {
    const auto is_near = !member.zone.empty() && member.zone == this->proxy.zone;
    (is_near ? near : far).push_back(member.address);
  }
  this->rank_group(near);
  this->rank_group(far);
  this->rank_group(this->seeds);
  this->rank_group(this->former);
  const auto kept = std::find(this->order.begin(), this->order.end(), keep);
  const auto index = static_cast<std::size_t>(kept - this->order.begin());
  this->position = kept == this->order.end() ? 0 : index;
}

// Appends those of `group` that are not in the order yet, by weight.
void member_ranking::rank_group(const std::vector<std::string>& group) {
  auto added = std::vector<std::string>();
  for (const auto& member : group) {
    if (!contains(this->order, member) && !contains(added, member)) {
      added.push_back(member);
    }
  }
  std::sort(added.begin(), added.end(), [this](const auto& left, const auto& right) {
    return weight(this->proxy.key, left) > weight(this->proxy.key, right);
  });
  this->order.insert(this->order.end(), added.begin(), added.end());
}

}  // namespace ramppond
