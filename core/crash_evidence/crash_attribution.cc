#include "core/crash_evidence/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

constexpr auto crashes_for_trial = std::uint32_t(3);
// One end may have any cause; a second one with nothing else to blame has not.
constexpr auto crashes_to_block = std::uint32_t(2);
// A wrong verdict costs its caller this long, a right one a server's end when
// it is over: the longer, the more often it was confirmed.
constexpr auto shortest_block = std::chrono::duration_cast<Duration>(std::chrono::minutes(2));
constexpr auto longest_block = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
// Servers that end at once for another reason, as with a rack that loses power.
constexpr auto crashes_of_another_cause = std::size_t(2);
constexpr auto correlation_window = seconds(1);
// The record of an end takes a few tenths of a second from daemon to daemon.
constexpr auto reported_crash_lifetime = seconds(5);
// A request that ended well may be under way at ends that come right after, more
// often than it ends well where it is known.
constexpr auto clearance_lifetime = seconds(30);
// 64 ends of a service with 128 requests under way each.
constexpr auto most_suspects = std::size_t(8192);
// Half an hour of ends and of good ends of all servers of a service.
constexpr auto most_instances = std::size_t(1024);

auto contains(const std::vector<request_digest>& digests, const request_digest& digest) -> bool {
  return std::find(digests.begin(), digests.end(), digest) != digests.end();
}

}  // namespace

void crash_attribution::on_evidence(const instance_evidence& evidence, TimePoint now) {
  if (evidence.age < Duration(0) || evidence.age >= evidence_lifetime) {
    return;
  }
  const auto known = this->crashes.find(evidence.instance_id);
  if (known != this->crashes.end() && evidence.revision <= known->second.revision) {
    return;
  }
  this->make_room(now);
  this->crashes[evidence.instance_id].revision = evidence.revision;
  if (evidence.age < clearance_lifetime) {
    for (const auto& digest : evidence.succeeded) {
      auto& s = this->suspects[digest];
      this->clear(digest, s, now);
      s.clearing_reported = now;
    }
  }
  const auto former = this->remove_crash(evidence.instance_id);
  this->add_crash(evidence, now);
  for (const auto& digest : former) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end() && found->second.crashes.size() < crashes_to_block &&
        found->second.blocked_until) {
      this->clear(digest, found->second, now);
    }
  }
}

// A later record of an end may hold fewer requests: some have been cleared since.
auto crash_attribution::remove_crash(const std::string& instance_id)
    -> std::vector<request_digest> {
  auto former = std::exchange(this->crashes[instance_id].under_way, {});
  for (const auto& digest : former) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end()) {
      auto& held = found->second.crashes;
      held.erase(std::remove(held.begin(), held.end(), instance_id), held.end());
    }
  }
  return former;
}

void crash_attribution::add_crash(const instance_evidence& evidence, TimePoint now) {
  auto& ended = this->crashes[evidence.instance_id];
  ended.when = now - evidence.age;
  ended.under_way = evidence.under_way;
  ended.under_way.resize(std::min(ended.under_way.size(), most_under_way));
  ended.isolated = evidence.isolated;
  for (const auto& digest : ended.under_way) {
    this->suspects[digest].crashes.push_back(evidence.instance_id);
  }
  this->blame_blocked(ended, now);
  for (const auto& digest : ended.under_way) {
    this->judge(digest, now);
  }
}

// What is barred and was under way all the same, since the word had not come yet, explains the end.
void crash_attribution::blame_blocked(instance_crash& ended, TimePoint now) const {
  for (const auto& digest : ended.under_way) {
    const auto& s = this->suspects.at(digest);
    if (s.blocked_until && now < *s.blocked_until) {
      ended.blamed = digest;
    }
  }
}

void crash_attribution::judge(const request_digest& digest, TimePoint now) {
  auto& judged = this->suspects[digest];
  const auto in_force = judged.blocked_until && now < *judged.blocked_until;
  if (in_force || !this->is_proven(digest, judged, now)) {
    return;
  }
  auto last_crash = TimePoint(0);
  for (const auto& instance : judged.crashes) {
    auto& ended = this->crashes.at(instance);
    ended.blamed = ended.blamed.value_or(digest);
    last_crash = std::max(last_crash, ended.when);
  }
  judged.block_length = judged.blocked_until
                            ? std::min<Duration>(judged.block_length * 2, longest_block)
                            : Duration(shortest_block);
  judged.blocked_until = last_crash + judged.block_length;  // for all daemons, whenever they hear
  this->blocks.push_back({digest, judged.crashes, judged.block_length});
}

// A server ended under it while it ran alone for what it had done before, and nothing else that was
// under way there had been under way at another end. Many servers that end at once prove nothing:
// what was under way at them had not been begun under suspicion, or, repeated after the first of
// them, at one more of them by chance.
auto crash_attribution::is_proven(const request_digest& digest, const suspect& judged,
                                  TimePoint now) const -> bool {
  if (this->counted_crashes(digest, judged, now) < crashes_to_block) {
    return false;
  }
  const auto is_other_suspect = [&](const request_digest& other) {
    const auto known = this->suspects.find(other);  // it may have been dropped
    return other != digest && known != this->suspects.end() &&
           this->counted_crashes(other, known->second, now) >= crashes_to_block;
  };
  auto found = std::uint32_t(0);
  auto wanted = std::uint32_t(1);
  for (const auto& instance : judged.crashes) {
    const auto& ended = this->crashes.at(instance);
    const auto is_decisive =
        !ended.blamed && this->counts(judged, ended, now) && contains(ended.isolated, digest) &&
        std::none_of(ended.under_way.begin(), ended.under_way.end(), is_other_suspect);
    found += is_decisive ? 1 : 0;
    if (is_decisive && this->correlated_crashes(digest, ended) >= crashes_of_another_cause) {
      wanted = crashes_to_block;
    }
  }
  return found >= wanted;
}

// Ends at about the same time that neither this request nor one that is barred explains.
auto crash_attribution::correlated_crashes(const request_digest& digest,
                                           const instance_crash& ended) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(this->crashes.begin(), this->crashes.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const auto apart =
            other.when > ended.when ? other.when - ended.when : ended.when - other.when;
        return !other.under_way.empty() && !other.blamed && apart < correlation_window &&
               !contains(other.under_way, digest);
      }));
}

void crash_attribution::on_hearsay(const request_digest& digest, TimePoint now) {
  this->make_room(now);
  this->suspects[digest].reported_crash = now;
}

auto crash_attribution::on_success(const request_digest& digest, TimePoint now) -> bool {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return false;
  }
  auto& s = found->second;
  const auto matters_to_others = s.crashes.size() >= crashes_to_block || s.blocked_until;
  const auto is_reported =
      s.clearing_reported && now - *s.clearing_reported < clearance_lifetime / 2;
  this->clear(digest, s, now);
  if (!matters_to_others || is_reported) {
    return false;
  }
  s.clearing_reported = now;
  return true;
}

// Whatever it was blamed for is open again.
void crash_attribution::clear(const request_digest& digest, suspect& cleared, TimePoint now) {
  cleared.cleared = now;
  cleared.reported_crash.reset();
  if (!cleared.blocked_until) {
    return;
  }
  this->withdrawn_count += 1;
  cleared.blocked_until.reset();
  for (auto& [instance, ended] : this->crashes) {
    ended.blamed = ended.blamed == digest ? std::nullopt : ended.blamed;
  }
}

// An end that a good end followed, or went shortly before, says nothing of the request.
auto crash_attribution::counts(const suspect& judged, const instance_crash& ended,
                               TimePoint now) const -> bool {
  const auto is_cleared = judged.cleared && ended.when <= *judged.cleared + clearance_lifetime;
  return !is_cleared && now - ended.when < evidence_lifetime;
}

// Without those that another request explains.
auto crash_attribution::counted_crashes(const request_digest& digest, const suspect& judged,
                                        TimePoint now) const -> std::uint32_t {
  auto held = std::uint32_t(0);
  for (const auto& instance : judged.crashes) {
    const auto found = this->crashes.find(instance);
    const auto is_held = found != this->crashes.end() &&
                         found->second.blamed.value_or(digest) == digest &&
                         this->counts(judged, found->second, now);
    held += is_held ? 1 : 0;
  }
  return held;
}

auto crash_attribution::suspicion_of(const request_digest& digest, TimePoint now) const
    -> standing {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return unsuspected{};
  }
  const auto& s = found->second;
  if (s.blocked_until) {
    return now < *s.blocked_until ? standing(barred{*s.blocked_until}) : standing(on_trial{});
  }
  const auto held = this->counted_crashes(digest, s, now);
  if (held >= crashes_for_trial) {
    return on_trial{};
  }
  const auto heard =
      s.crashes.empty() && s.reported_crash && now - *s.reported_crash < reported_crash_lifetime;
  if (held == 0 && !heard) {
    return unsuspected{};
  }
  return suspected{std::max(held, std::uint32_t(1))};
}

auto crash_attribution::take_blocks() -> std::vector<block_decision> {
  return std::exchange(this->blocks, {});
}

// An end and the requests that were under way at it name each other: both sides are dropped.
void crash_attribution::drop_crash(const std::string& instance_id) {
  this->remove_crash(instance_id);
  this->crashes.erase(instance_id);
}

// Of ends, those that have aged and then the oldest go.
void crash_attribution::make_room(TimePoint now) {
  if (this->crashes.size() >= most_instances) {
    auto oldest = std::vector<std::pair<TimePoint, std::string>>();
    for (const auto& [instance, ended] : this->crashes) {
      oldest.emplace_back(ended.when, instance);
    }
    std::sort(oldest.begin(), oldest.end());
    for (auto i = std::size_t(0); i < oldest.size(); ++i) {
      const auto has_aged = now - oldest[i].first >= evidence_lifetime;
      if (has_aged || i < most_instances / 2) {
        this->drop_crash(oldest[i].second);
      }
    }
  }
  if (this->suspects.size() >= most_suspects) {
    this->drop_suspects(now);
  }
}

// What was under way at the fewest ends goes first. Bars stay: a caller with many identities must
// not be able to push them out.
void crash_attribution::drop_suspects(TimePoint now) {
  for (auto least = std::uint32_t(1);
       least <= crashes_for_trial + 1 && this->suspects.size() > most_suspects / 2; ++least) {
    for (auto s = this->suspects.begin(); s != this->suspects.end();) {
      const auto is_blocked = s->second.blocked_until && now < *s->second.blocked_until;
      const auto goes = !is_blocked && this->counted_crashes(s->first, s->second, now) < least;
      s = goes ? this->suspects.erase(s) : std::next(s);
    }
  }
}

}  // namespace ramppond
