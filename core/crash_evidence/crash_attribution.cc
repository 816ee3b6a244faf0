#include "core/crash_evidence/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

// At fewer, popular requests that were merely under way could run at one server
// only; at more, a harmful request costs the service further servers.
constexpr auto crashes_for_trial = std::uint32_t(3);
// One crash may have any cause; a second one with nothing else to blame has not.
constexpr auto crashes_to_block = std::uint32_t(2);
// A wrong block costs the caller this long, the end of a right one a server: it
// begins short and doubles each time that a crash confirms it.
constexpr auto shortest_block = std::chrono::duration_cast<Duration>(std::chrono::minutes(2));
constexpr auto longest_block = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
// Further crashes at about the same time that show another cause, as with a rack
// that loses power. One of them alone is often a second run of the same request.
constexpr auto correlated_crashes = std::size_t(2);
// Shorter, and the crashes of one cause would be seen apart; longer, and
// unrelated crashes would put off a block.
constexpr auto correlation_window = seconds(1);
// Shorter, and the record, which takes a few tenths of a second from proxy to
// proxy, may come later; longer, and a request that only lost its connection
// runs isolated for nothing.
constexpr auto reported_crash_lifetime = seconds(5);
// For as long after a success earlier and later crashes don't count. Shorter, and
// a popular request is suspected again at each crash that comes right after;
// longer, and one that turns harmful goes on unsuspected.
constexpr auto clearance_lifetime = seconds(30);
// 64 crashes of a service with 128 requests under way each.
constexpr auto most_suspects = std::size_t(8192);
// Half an hour of crashes and of reports of successes of all servers of a service.
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
  this->clear_unlisted(former, now);
}

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
  auto& crash = this->crashes[evidence.instance_id];
  crash.when = now - evidence.age;
  crash.under_way = evidence.under_way;
  crash.under_way.resize(std::min(crash.under_way.size(), most_under_way));
  crash.isolated = evidence.isolated;
  for (const auto& digest : crash.under_way) {
    this->suspects[digest].crashes.push_back(evidence.instance_id);
  }
  this->blame_blocked(crash, now);
  for (const auto& digest : crash.under_way) {
    this->decide_block(digest, now);
  }
}

// A later record of a crash lists fewer requests when some have succeeded since: a block that rests
// on one crash only then was wrong.
void crash_attribution::clear_unlisted(const std::vector<request_digest>& formerly_under_way,
                                       TimePoint now) {
  for (const auto& digest : formerly_under_way) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end() && found->second.crashes.size() < crashes_to_block &&
        found->second.blocked_until) {
      this->clear(digest, found->second, now);
    }
  }
}

// A request that is blocked may have been under way at a server whose proxy had not heard of that.
void crash_attribution::blame_blocked(instance_crash& crash, TimePoint now) const {
  for (const auto& digest : crash.under_way) {
    if (this->suspects.at(digest).is_blocked(now)) {
      crash.blamed = digest;
    }
  }
}

void crash_attribution::decide_block(const request_digest& digest, TimePoint now) {
  auto& judged = this->suspects[digest];
  if (!judged.is_blocked(now) && this->is_proven(digest, judged, now)) {
    this->block(digest, judged);
  }
}

// The block counts from the last crash, so that it ends at the same time for all proxies, whenever
// they hear of it.
void crash_attribution::block(const request_digest& digest, suspect& proven) {
  auto last_crash = TimePoint(0);
  for (const auto& instance : proven.crashes) {
    auto& crash = this->crashes.at(instance);
    crash.blamed = crash.blamed.value_or(digest);
    last_crash = std::max(last_crash, crash.when);
  }
  proven.block_length = proven.blocked_until
                            ? std::min<Duration>(proven.block_length * 2, longest_block)
                            : Duration(shortest_block);
  proven.blocked_until = last_crash + proven.block_length;
  this->blocks.push_back({digest, proven.crashes, proven.block_length});
}

auto crash_attribution::is_proven(const request_digest& digest, const suspect& judged,
                                  TimePoint now) const -> bool {
  if (this->counted_crashes(digest, judged, now) < crashes_to_block) {
    return false;
  }
  auto found = std::uint32_t(0);
  auto wanted = std::uint32_t(1);
  for (const auto& instance : judged.crashes) {
    const auto& crash = this->crashes.at(instance);
    if (!this->is_decisive(digest, judged, crash, now)) {
      continue;
    }
    found += 1;
    // Of many servers that crash at once, one may have run this request isolated by chance: it had
    // been sent again after the first of these crashes.
    if (this->is_correlated(digest, crash)) {
      wanted = crashes_to_block;
    }
  }
  return found >= wanted;
}

// The server crashed while this was the only suspected request that it ran, and nothing else that
// was under way had been under way at two crashes.
auto crash_attribution::is_decisive(const request_digest& digest, const suspect& judged,
                                    const instance_crash& crash, TimePoint now) const -> bool {
  const auto is_other_suspect = [&](const request_digest& other) {
    const auto known = this->suspects.find(other);  // it may have been dropped
    return other != digest && known != this->suspects.end() &&
           this->counted_crashes(other, known->second, now) >= crashes_to_block;
  };
  return !crash.blamed && this->counts(judged, crash, now) && contains(crash.isolated, digest) &&
         std::none_of(crash.under_way.begin(), crash.under_way.end(), is_other_suspect);
}

// Whether other servers crashed at about the same time with neither this request nor a blocked one
// under way.
auto crash_attribution::is_correlated(const request_digest& digest,
                                      const instance_crash& crash) const -> bool {
  const auto is_beside = [&](const auto& entry) {
    const auto& other = entry.second;
    const auto apart = other.when > crash.when ? other.when - crash.when : crash.when - other.when;
    return !other.under_way.empty() && !other.blamed && apart < correlation_window &&
           !contains(other.under_way, digest);
  };
  const auto beside = std::count_if(this->crashes.begin(), this->crashes.end(), is_beside);
  return static_cast<std::size_t>(beside) >= correlated_crashes;
}

void crash_attribution::on_reported_crash(const request_digest& digest, TimePoint now) {
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

// With a block goes what it explained: those crashes count against the others again.
void crash_attribution::clear(const request_digest& digest, suspect& cleared, TimePoint now) {
  cleared.cleared = now;
  cleared.reported_crash.reset();
  if (!cleared.blocked_until) {
    return;
  }
  this->withdrawn_count += 1;
  cleared.blocked_until.reset();
  for (auto& [instance, crash] : this->crashes) {
    crash.blamed = crash.blamed == digest ? std::nullopt : crash.blamed;
  }
}

// A crash that a success followed, or went shortly before, says nothing of the request.
auto crash_attribution::counts(const suspect& judged, const instance_crash& crash,
                               TimePoint now) const -> bool {
  const auto is_cleared = judged.cleared && crash.when <= *judged.cleared + clearance_lifetime;
  return !is_cleared && now - crash.when < evidence_lifetime;
}

// Without those that another request explains.
auto crash_attribution::counted_crashes(const request_digest& digest, const suspect& judged,
                                        TimePoint now) const -> std::uint32_t {
  auto counted = std::uint32_t(0);
  for (const auto& instance : judged.crashes) {
    const auto found = this->crashes.find(instance);
    const auto is_counted = found != this->crashes.end() &&
                            found->second.blamed.value_or(digest) == digest &&
                            this->counts(judged, found->second, now);
    counted += is_counted ? 1 : 0;
  }
  return counted;
}

auto crash_attribution::suspicion_of(const request_digest& digest, TimePoint now) const
    -> suspicion_state {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return unsuspected{};
  }
  const auto& s = found->second;
  if (s.blocked_until) {
    return s.is_blocked(now) ? suspicion_state(blocked{*s.blocked_until})
                             : suspicion_state(quarantined{});
  }
  const auto counted = this->counted_crashes(digest, s, now);
  if (counted >= crashes_for_trial) {
    return quarantined{};
  }
  const auto is_reported =
      s.crashes.empty() && s.reported_crash && now - *s.reported_crash < reported_crash_lifetime;
  if (counted == 0 && !is_reported) {
    return unsuspected{};
  }
  return suspected{std::max(counted, std::uint32_t(1))};
}

auto crash_attribution::take_blocks() -> std::vector<block_decision> {
  return std::exchange(this->blocks, {});
}

// A crash and the requests that were under way at it name each other: both sides are dropped.
void crash_attribution::drop_crash(const std::string& instance_id) {
  this->remove_crash(instance_id);
  this->crashes.erase(instance_id);
}

void crash_attribution::make_room(TimePoint now) {
  if (this->crashes.size() >= most_instances) {
    this->drop_crashes(now);
  }
  if (this->suspects.size() >= most_suspects) {
    this->drop_suspects(now);
  }
}

// The older half goes, and all that no longer count.
void crash_attribution::drop_crashes(TimePoint now) {
  auto oldest = std::vector<std::pair<TimePoint, std::string>>();
  for (const auto& [instance, crash] : this->crashes) {
    oldest.emplace_back(crash.when, instance);
  }
  std::sort(oldest.begin(), oldest.end());
  for (auto i = std::size_t(0); i < oldest.size(); ++i) {
    const auto has_aged = now - oldest[i].first >= evidence_lifetime;
    if (has_aged || i < most_instances / 2) {
      this->drop_crash(oldest[i].second);
    }
  }
}

// What was under way at the fewest crashes goes first. Blocks stay: a caller with many identities
// must not be able to push them out.
void crash_attribution::drop_suspects(TimePoint now) {
  for (auto least = std::uint32_t(1);
       least <= crashes_for_trial + 1 && this->suspects.size() > most_suspects / 2; ++least) {
    for (auto s = this->suspects.begin(); s != this->suspects.end();) {
      const auto goes =
          !s->second.is_blocked(now) && this->counted_crashes(s->first, s->second, now) < least;
      s = goes ? this->suspects.erase(s) : std::next(s);
    }
  }
}

}  // namespace ramppond
