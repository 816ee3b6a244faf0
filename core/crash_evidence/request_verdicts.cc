#include "core/crash_evidence/request_verdicts.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

constexpr auto ends_for_trial = std::uint32_t(3);
// One end may have any cause; a second one with nothing else to blame has not.
constexpr auto ends_to_bar = std::uint32_t(2);
// A wrong verdict costs its caller this long, a right one a server's end when
// it is over: the longer, the more often it was confirmed.
constexpr auto first_bar = std::chrono::duration_cast<Duration>(std::chrono::minutes(5));
constexpr auto longest_bar = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
// The record of an end takes a few tenths of a second from daemon to daemon.
constexpr auto hearsay_lasts = seconds(5);
// A request that ended well may be under way at ends that come right after, more
// often than it ends well where it is known.
constexpr auto clearance_lasts = seconds(30);
// 64 ends of a service with 128 requests under way each.
constexpr auto most_suspects = std::size_t(8192);

}  // namespace

void request_verdicts::on_evidence(const instance_evidence& evidence, TimePoint now) {
  if (evidence.age < Duration(0) || evidence.age >= evidence_lifetime) {
    return;
  }
  this->make_room(now);
  auto& known = this->ends[evidence.instance_id];
  if (evidence.revision <= known.revision) {
    return;
  }
  known.revision = evidence.revision;
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
  for (const auto& digest : evidence.under_way) {
    if (ended.under_way.size() >= most_under_way) {
      return;
    }
    auto& s = this->suspects[digest];
    ended.under_way.push_back(digest);
    s.ends.push_back(evidence.instance_id);
    const auto is_alone =
        std::find(evidence.alone.begin(), evidence.alone.end(), digest) != evidence.alone.end();
    s.alone = s.alone || (is_alone && this->counts(s, ended, now));
    this->judge(digest, s, now);
  }
}

// The record of the earlier end may come after the one that tells it alone.
void request_verdicts::judge(const request_digest& digest, suspect& judged, TimePoint now) {
  const auto in_force = judged.barred_until && now < *judged.barred_until;
  const auto is_proved = judged.alone && this->ends_held(judged, true, now) >= ends_to_bar;
  if (!in_force && !is_proved) {
    return;
  }
  for (const auto& instance : judged.ends) {
    this->ends[instance].blamed = digest;
  }
  judged.alone = false;
  if (in_force) {
    return;
  }
  judged.bar_length = judged.barred_until ? std::min<Duration>(judged.bar_length * 2, longest_bar)
                                          : Duration(first_bar);
  judged.barred_until = now + judged.bar_length;
  this->bars.push_back({digest, judged.ends, judged.bar_length});
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
  cleared.alone = false;
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

auto request_verdicts::ends_held(const suspect& judged, bool blamed_too, TimePoint now) const
    -> std::uint32_t {
  auto held = std::uint32_t(0);
  for (const auto& instance : judged.ends) {
    const auto found = this->ends.find(instance);
    const auto is_held = found != this->ends.end() && (blamed_too || !found->second.blamed) &&
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
  const auto held = this->ends_held(s, false, now);
  if (held >= ends_for_trial) {
    return on_trial{};
  }
  const auto heard = s.ends.empty() && s.hearsay && now - *s.hearsay < hearsay_lasts;
  if (held == 0 && !heard) {
    return unsuspected{};
  }
  return suspected{std::max(held, std::uint32_t(1))};
}

auto request_verdicts::is_suspect(const request_digest& digest, TimePoint now) const -> bool {
  return !std::holds_alternative<unsuspected>(this->of(digest, now));
}

auto request_verdicts::take_bars() -> std::vector<bar_verdict> {
  return std::exchange(this->bars, {});
}

// What has aged goes first, then what was under way at the fewest ends. Bars stay: a caller with
// many identities must not be able to push them out.
void request_verdicts::make_room(TimePoint now) {
  if (this->suspects.size() < most_suspects) {
    return;
  }
  for (auto s = this->ends.begin(); s != this->ends.end();) {
    s = now - s->second.when >= evidence_lifetime ? this->ends.erase(s) : std::next(s);
  }
  for (auto least = std::uint32_t(1); this->suspects.size() > most_suspects / 2; ++least) {
    for (auto s = this->suspects.begin(); s != this->suspects.end();) {
      const auto is_barred = s->second.barred_until && now < *s->second.barred_until;
      const auto goes = !is_barred && this->ends_held(s->second, false, now) < least;
      s = goes ? this->suspects.erase(s) : std::next(s);
    }
    if (least > ends_for_trial) {
      return;
    }
  }
}

}  // namespace ramppond
