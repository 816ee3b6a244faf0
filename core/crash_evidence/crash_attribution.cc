#include "core/crash_evidence/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

constexpr auto ends_for_trial = std::uint32_t(3);
// One end may have any cause; a second one with nothing else to blame has not.
constexpr auto ends_to_bar = std::uint32_t(2);
// A wrong verdict costs its caller this long, a right one a server's end when
// it is over: the longer, the more often it was confirmed.
constexpr auto first_bar = std::chrono::duration_cast<Duration>(std::chrono::minutes(2));
constexpr auto longest_bar = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
// Servers that end at once for another reason, as with a rack that loses power.
constexpr auto ends_of_another_cause = std::size_t(2);
constexpr auto same_time = seconds(1);
// The record of an end takes a few tenths of a second from daemon to daemon.
constexpr auto hearsay_lasts = seconds(5);
// A request that ended well may be under way at ends that come right after, more
// often than it ends well where it is known.
constexpr auto clearance_lasts = seconds(30);
// 64 ends of a service with 128 requests under way each.
constexpr auto most_suspects = std::size_t(8192);
// Half an hour of ends and of good ends of all servers of a service.
constexpr auto most_instances = std::size_t(1024);

auto contains(const std::vector<request_digest>& digests, const request_digest& digest) -> bool {
  return std::find(digests.begin(), digests.end(), digest) != digests.end();
}

}  // namespace

void request_verdicts::on_evidence(const instance_evidence& evidence, TimePoint now) {
  if (evidence.age < Duration(0) || evidence.age >= evidence_lifetime) {
    return;
  }
  const auto known = this->ends.find(evidence.instance_id);
  if (known != this->ends.end() && evidence.revision <= known->second.revision) {
    return;
  }
  this->make_room(now);
  this->ends[evidence.instance_id].revision = evidence.revision;
  if (evidence.age < clearance_lasts) {
    for (const auto& digest : evidence.ended_well) {
      auto& s = this->suspects[digest];
      this->clear(digest, s, now);
      s.clearing_told = now;
    }
  }
  const auto former = this->remove_end(evidence.instance_id);
  this->add_end(evidence, now);
  for (const auto& digest : former) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end() && found->second.ends.size() < ends_to_bar &&
        found->second.barred_until) {
      this->clear(digest, found->second, now);
    }
  }
}

// A later record of an end may hold fewer requests: some have been cleared since.
auto request_verdicts::remove_end(const std::string& instance_id) -> std::vector<request_digest> {
  auto former = std::exchange(this->ends[instance_id].under_way, {});
  for (const auto& digest : former) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end()) {
      auto& held = found->second.ends;
      held.erase(std::remove(held.begin(), held.end(), instance_id), held.end());
    }
  }
  return former;
}

void request_verdicts::add_end(const instance_evidence& evidence, TimePoint now) {
  auto& ended = this->ends[evidence.instance_id];
  ended.when = now - evidence.age;
  ended.under_way = evidence.under_way;
  ended.under_way.resize(std::min(ended.under_way.size(), most_under_way));
  ended.isolated = evidence.isolated;
  for (const auto& digest : ended.under_way) {
    this->suspects[digest].ends.push_back(evidence.instance_id);
  }
  this->blame_barred(ended, now);
  for (const auto& digest : ended.under_way) {
    this->judge(digest, now);
  }
}

// What is barred and was under way all the same, since the word had not come yet, explains the end.
void request_verdicts::blame_barred(instance_end& ended, TimePoint now) const {
  for (const auto& digest : ended.under_way) {
    const auto& s = this->suspects.at(digest);
    if (s.barred_until && now < *s.barred_until) {
      ended.blamed = digest;
    }
  }
}

void request_verdicts::judge(const request_digest& digest, TimePoint now) {
  auto& judged = this->suspects[digest];
  const auto in_force = judged.barred_until && now < *judged.barred_until;
  if (in_force || !this->is_proved(digest, judged, now)) {
    return;
  }
  auto last_end = TimePoint(0);
  for (const auto& instance : judged.ends) {
    auto& ended = this->ends.at(instance);
    ended.blamed = ended.blamed.value_or(digest);
    last_end = std::max(last_end, ended.when);
  }
  judged.bar_length = judged.barred_until ? std::min<Duration>(judged.bar_length * 2, longest_bar)
                                          : Duration(first_bar);
  judged.barred_until = last_end + judged.bar_length;  // for all daemons, whenever they hear
  this->bars.push_back({digest, judged.ends, judged.bar_length});
}

// A server ended under it while it ran alone for what it had done before, and nothing else that was
// under way there had been under way at another end. Many servers that end at once prove nothing:
// what was under way at them had not been begun under suspicion, or, repeated after the first of
// them, at one more of them by chance.
auto request_verdicts::is_proved(const request_digest& digest, const suspect& judged,
                                 TimePoint now) const -> bool {
  if (this->ends_held(digest, judged, now) < ends_to_bar) {
    return false;
  }
  const auto is_other_suspect = [&](const request_digest& other) {
    const auto known = this->suspects.find(other);  // it may have been dropped
    return other != digest && known != this->suspects.end() &&
           this->ends_held(other, known->second, now) >= ends_to_bar;
  };
  auto found = std::uint32_t(0);
  auto wanted = std::uint32_t(1);
  for (const auto& instance : judged.ends) {
    const auto& ended = this->ends.at(instance);
    const auto is_decisive =
        !ended.blamed && this->counts(judged, ended, now) && contains(ended.isolated, digest) &&
        std::none_of(ended.under_way.begin(), ended.under_way.end(), is_other_suspect);
    found += is_decisive ? 1 : 0;
    if (is_decisive && this->ends_beside(digest, ended) >= ends_of_another_cause) {
      wanted = ends_to_bar;
    }
  }
  return found >= wanted;
}

// Ends at about the same time that neither this request nor one that is barred explains.
auto request_verdicts::ends_beside(const request_digest& digest, const instance_end& ended) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(this->ends.begin(), this->ends.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const auto apart =
            other.when > ended.when ? other.when - ended.when : ended.when - other.when;
        return !other.under_way.empty() && !other.blamed && apart < same_time &&
               !contains(other.under_way, digest);
      }));
}

void request_verdicts::on_hearsay(const request_digest& digest, TimePoint now) {
  this->make_room(now);
  this->suspects[digest].hearsay = now;
}

auto request_verdicts::on_good_end(const request_digest& digest, TimePoint now) -> bool {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return false;
  }
  auto& s = found->second;
  const auto matters_to_others = s.ends.size() >= ends_to_bar || s.barred_until;
  const auto is_told = s.clearing_told && now - *s.clearing_told < clearance_lasts / 2;
  this->clear(digest, s, now);
  if (!matters_to_others || is_told) {
    return false;
  }
  s.clearing_told = now;
  return true;
}

// Whatever it was blamed for is open again.
void request_verdicts::clear(const request_digest& digest, suspect& cleared, TimePoint now) {
  cleared.cleared = now;
  cleared.hearsay.reset();
  if (!cleared.barred_until) {
    return;
  }
  this->bars_withdrawn += 1;
  cleared.barred_until.reset();
  for (auto& [instance, ended] : this->ends) {
    ended.blamed = ended.blamed == digest ? std::nullopt : ended.blamed;
  }
}

// An end that a good end followed, or went shortly before, says nothing of the request.
auto request_verdicts::counts(const suspect& judged, const instance_end& ended, TimePoint now) const
    -> bool {
  const auto is_cleared = judged.cleared && ended.when <= *judged.cleared + clearance_lasts;
  return !is_cleared && now - ended.when < evidence_lifetime;
}

// Without those that another request explains.
auto request_verdicts::ends_held(const request_digest& digest, const suspect& judged,
                                 TimePoint now) const -> std::uint32_t {
  auto held = std::uint32_t(0);
  for (const auto& instance : judged.ends) {
    const auto found = this->ends.find(instance);
    const auto is_held = found != this->ends.end() &&
                         found->second.blamed.value_or(digest) == digest &&
                         this->counts(judged, found->second, now);
    held += is_held ? 1 : 0;
  }
  return held;
}

auto request_verdicts::of(const request_digest& digest, TimePoint now) const -> standing {
  const auto found = this->suspects.find(digest);
  if (found == this->suspects.end()) {
    return unsuspected{};
  }
  const auto& s = found->second;
  if (s.barred_until) {
    return now < *s.barred_until ? standing(barred{*s.barred_until}) : standing(on_trial{});
  }
  const auto held = this->ends_held(digest, s, now);
  if (held >= ends_for_trial) {
    return on_trial{};
  }
  const auto heard = s.ends.empty() && s.hearsay && now - *s.hearsay < hearsay_lasts;
  if (held == 0 && !heard) {
    return unsuspected{};
  }
  return suspected{std::max(held, std::uint32_t(1))};
}

auto request_verdicts::take_bars() -> std::vector<bar_verdict> {
  return std::exchange(this->bars, {});
}

// An end and the requests that were under way at it name each other: both sides are dropped.
void request_verdicts::drop_end(const std::string& instance_id) {
  this->remove_end(instance_id);
  this->ends.erase(instance_id);
}

// Of ends, those that have aged and then the oldest go.
void request_verdicts::make_room(TimePoint now) {
  if (this->ends.size() >= most_instances) {
    auto oldest = std::vector<std::pair<TimePoint, std::string>>();
    for (const auto& [instance, ended] : this->ends) {
      oldest.emplace_back(ended.when, instance);
    }
    std::sort(oldest.begin(), oldest.end());
    for (auto i = std::size_t(0); i < oldest.size(); ++i) {
      const auto has_aged = now - oldest[i].first >= evidence_lifetime;
      if (has_aged || i < most_instances / 2) {
        this->drop_end(oldest[i].second);
      }
    }
  }
  if (this->suspects.size() >= most_suspects) {
    this->drop_suspects(now);
  }
}

// What was under way at the fewest ends goes first. Bars stay: a caller with many identities must
// not be able to push them out.
void request_verdicts::drop_suspects(TimePoint now) {
  for (auto least = std::uint32_t(1);
       least <= ends_for_trial + 1 && this->suspects.size() > most_suspects / 2; ++least) {
    for (auto s = this->suspects.begin(); s != this->suspects.end();) {
      const auto is_barred = s->second.barred_until && now < *s->second.barred_until;
      const auto goes = !is_barred && this->ends_held(s->first, s->second, now) < least;
      s = goes ? this->suspects.erase(s) : std::next(s);
    }
  }
}

}  // namespace ramppond
