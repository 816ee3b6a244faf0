#include "core/crash_evidence/request_verdicts.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

constexpr auto ends_for_trial = std::uint32_t(3);
// One end may have any cause; a second one with nothing else to blame has not.
constexpr auto ends_to_bar = std::size_t(2);
// A wrong verdict costs its caller this long, a right one a server's end when
// it is over: the longer, the more often it was confirmed.
constexpr auto first_bar = std::chrono::duration_cast<Duration>(std::chrono::minutes(5));
constexpr auto longest_bar = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
// The record of an end takes a few tenths of a second from daemon to daemon.
constexpr auto hearsay_lasts = seconds(5);
// A request that ended well may have been under way at ends that are told later.
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
      this->clear(digest, now);
    }
  }
  this->remove_end(evidence.instance_id);
  this->add_end(evidence, now);
}

// A later record of an end may hold fewer requests: some have been cleared since.
void request_verdicts::remove_end(const std::string& instance_id) {
  auto& ended = this->ends[instance_id];
  for (const auto& digest : std::exchange(ended.under_way, {})) {
    const auto found = this->suspects.find(digest);
    if (found != this->suspects.end()) {
      auto& held = found->second.ends;
      held.erase(std::remove(held.begin(), held.end(), instance_id), held.end());
    }
  }
}

void request_verdicts::add_end(const instance_evidence& evidence, TimePoint now) {
  auto& ended = this->ends[evidence.instance_id];
  ended.when = now - evidence.age;
  for (const auto& digest : evidence.under_way) {
    auto& s = this->suspects[digest];
    const auto is_cleared = s.cleared && now - *s.cleared < clearance_lasts;
    if (is_cleared || ended.under_way.size() >= most_under_way) {
      continue;
    }
    ended.under_way.push_back(digest);
    s.ends.push_back(evidence.instance_id);
    s.alone = s.alone || std::find(evidence.alone.begin(), evidence.alone.end(), digest) !=
                             evidence.alone.end();
    this->judge(digest, s, now);
  }
}

// The record of the earlier end may come after the one that tells it alone.
void request_verdicts::judge(const request_digest& digest, suspect& judged, TimePoint now) {
  const auto in_force = judged.barred_until && now < *judged.barred_until;
  const auto is_proved = judged.alone && judged.ends.size() >= ends_to_bar;
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
  const auto& s = found->second;
  const auto is_cleared = s.cleared && now - *s.cleared < clearance_lasts / 2;
  if (is_cleared && s.ends.empty()) {
    return false;
  }
  const auto matters_to_others = s.ends.size() >= ends_to_bar || s.barred_until;
  this->clear(digest, now);
  return matters_to_others;
}

// Whatever it was blamed for is open again.
void request_verdicts::clear(const request_digest& digest, TimePoint now) {
  auto& s = this->suspects[digest];
  this->bars_withdrawn += s.barred_until ? 1 : 0;
  for (auto& [instance, ended] : this->ends) {
    auto& listed = ended.under_way;
    listed.erase(std::remove(listed.begin(), listed.end(), digest), listed.end());
    ended.blamed = ended.blamed == digest ? std::nullopt : ended.blamed;
  }
  s = suspect();
  s.cleared = now;
}

auto request_verdicts::unexplained(const suspect& judged, TimePoint now) const -> std::uint32_t {
  auto count = std::uint32_t(0);
  for (const auto& instance : judged.ends) {
    const auto found = this->ends.find(instance);
    const auto counts = found != this->ends.end() && !found->second.blamed &&
                        now - found->second.when < evidence_lifetime;
    count += counts ? 1 : 0;
  }
  return count;
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
  const auto ends_held = this->unexplained(s, now);
  if (ends_held >= ends_for_trial) {
    return on_trial{};
  }
  const auto heard = s.ends.empty() && s.hearsay && now - *s.hearsay < hearsay_lasts;
  if (ends_held == 0 && !heard) {
    return unsuspected{};
  }
  return suspected{std::max(ends_held, std::uint32_t(1))};
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
      const auto goes = !is_barred && this->unexplained(s->second, now) < least;
      s = goes ? this->suspects.erase(s) : std::next(s);
    }
    if (least > ends_for_trial) {
      return;
    }
  }
}

}  // namespace ramppond
