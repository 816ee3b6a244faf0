#include "daemon/proxy/crash_guard.h"

#include <algorithm>

#include "common/event_log.h"
#include "core/crash_evidence/trial_place.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/proxy_context.h"
#include "daemon/proxy/server_probe.h"

namespace ramppond {
namespace {

// The connections of a process that ends are read within milliseconds; when some
// still stand after the last of these the server lives.
constexpr auto check_interval = milliseconds(2);
constexpr auto most_checks = std::uint32_t(5);
// Of servers beside this daemon, one after the other.
constexpr auto most_own_records = std::size_t(16);
// A good end is told again with later ones for as long as its first record may
// have been lost.
constexpr auto good_end_told = seconds(10);

auto join(const std::vector<request_digest>& digests) -> std::string {
  auto text = std::string();
  for (const auto& digest : digests) {
    text += (text.empty() ? "" : " ") + format_digest(digest);
  }
  return text;
}

auto join(const std::vector<std::string>& names) -> std::string {
  auto text = std::string();
  for (const auto& name : names) {
    text += (text.empty() ? "" : " ") + name;
  }
  return text;
}

}  // namespace

crash_guard::crash_guard(ProxyContext& context)
    : context(context), check_timer(context.loop), pump_timer(context.loop) {}

crash_guard::~crash_guard() {
  if (this->probe != nullptr) {
    this->probe->abort(false);
  }
}

// A request that ended well here of late is no danger here, whatever others have seen.
auto crash_guard::judge(const request_digest& digest) const -> standing {
  const auto now = EventLoop::now();
  if (this->ended_well.contains(digest, now)) {
    return unsuspected{};
  }
  return this->verdicts.of(digest, now);
}

auto crash_guard::has_trial(const request_digest& digest) const -> bool {
  const auto& service = this->context.server.heartbeat().service;
  return is_trial_place(digest, this->context.settings.peer_address.toString(),
                        this->context.directory.daemonsOf(service));
}

void crash_guard::on_hearsay(const request_digest& digest) {
  this->verdicts.on_hearsay(digest, EventLoop::now());
}

void crash_guard::on_lost(const std::string& instance_id, const request_digest& digest) {
  this->ends.on_lost(instance_id, digest, EventLoop::now());
  this->checks = 0;
  this->check_timer.after(check_interval, [this] { this->check_server(); });
}

void crash_guard::on_left(const std::string& instance_id, const request_digest& digest) {
  this->ends.on_left(instance_id, digest, EventLoop::now());
}

void crash_guard::on_answered(const request_digest& digest, TimePoint begun, bool well) {
  const auto now = EventLoop::now();
  this->ends.on_alive(begun);
  if (!well) {
    return;
  }
  this->ended_well.add(digest, now);
  if (this->verdicts.on_good_end(digest, now)) {
    this->tell_good_end(digest);
  }
}

// A connection is made only when none stands: one that does shows that the server lives.
void crash_guard::check_server() {
  if (!this->ends.is_pending() || this->probe != nullptr) {
    return;
  }
  if (this->context.server_pool.established() > 0) {
    this->checks += 1;
    if (this->checks < most_checks) {
      this->check_timer.after(check_interval, [this] { this->check_server(); });
    }
    return;
  }
  this->probe = std::make_shared<server_probe>(this->context.loop,
                                               [this](bool refused) { this->on_probed(refused); });
  this->probe->start(this->context.settings.server_address);
}

void crash_guard::on_probed(bool refused) {
  this->probe.reset();
  if (refused) {
    this->context.noteServerRefusal(this->context.server.heartbeat().instance_id);
  } else {
    this->ends.on_alive(EventLoop::now());
  }
}

void crash_guard::on_server_gone(const std::string& instance_id) {
  const auto now = EventLoop::now();
  const auto ended = this->ends.on_end(instance_id, now);
  if (!ended || this->context.server.announcedEnd(instance_id)) {
    return;
  }
  auto& record = this->record_of(instance_id);
  record.when = now;
  for (const auto& digest : ended->under_way) {
    if (this->ended_well.contains(digest, now) ||
        record.evidence.under_way.size() >= most_under_way) {
      continue;
    }
    record.evidence.under_way.push_back(digest);
    if (this->verdicts.is_suspect(digest, now)) {
      record.evidence.alone.push_back(digest);
    }
  }
  if (record.evidence.alone.size() > 1) {
    record.evidence.alone.clear();
  }
  this->context.counters.server_ends += 1;
  this->context.counters.ended_under_way += ended->under_way.size();
  logEvent(now.count(), "server_ended",
           {{"instance", instance_id},
            {"under_way", std::to_string(ended->under_way.size())},
            {"digests", join(record.evidence.under_way)},
            {"alone", join(record.evidence.alone)}});
  this->tell(record);
  this->verdicts.on_evidence(record.evidence, now);
  this->after_verdicts();
}

auto crash_guard::record_of(const std::string& instance_id) -> own_record& {
  const auto found = this->own.find(instance_id);
  if (found != this->own.end()) {
    return found->second;
  }
  if (this->own_order.size() >= most_own_records) {
    this->own.erase(this->own_order.front());
    this->own_order.pop_front();
  }
  this->own_order.push_back(instance_id);
  auto& record = this->own[instance_id];
  record.evidence.instance_id = instance_id;
  record.evidence.service = this->context.server.heartbeat().service;
  return record;
}

void crash_guard::tell(own_record& record) {
  record.evidence.revision += 1;
  record.evidence.age = EventLoop::now() - record.when;
  if (this->on_evidence) {
    this->on_evidence(record.evidence);
  }
}

void crash_guard::tell_good_end(const request_digest& digest) {
  const auto now = EventLoop::now();
  this->context.counters.suspects_cleared += 1;
  while (!this->told_good_ends.empty() &&
         (this->told_good_ends.size() >= most_ended_well ||
          now - this->told_good_ends.front().when >= good_end_told)) {
    this->told_good_ends.pop_front();
  }
  this->told_good_ends.push_back({digest, now});
  auto& record = this->record_of(this->context.server.heartbeat().instance_id);
  record.when = now;
  record.evidence.ended_well.clear();
  for (const auto& told : this->told_good_ends) {
    record.evidence.ended_well.push_back(told.digest);
  }
  this->tell(record);
  this->withdraw(digest);
}

// Whoever joins later learns of ends from their records, not of what cleared a request since.
void crash_guard::withdraw(const request_digest& digest) {
  for (auto& [instance, record] : this->own) {
    auto& listed = record.evidence.under_way;
    const auto found = std::find(listed.begin(), listed.end(), digest);
    if (found == listed.end()) {
      continue;
    }
    listed.erase(found);
    auto& alone = record.evidence.alone;
    alone.erase(std::remove(alone.begin(), alone.end(), digest), alone.end());
    this->tell(record);
  }
}

void crash_guard::take(const std::vector<instance_evidence>& news) {
  const auto now = EventLoop::now();
  for (const auto& evidence : news) {
    this->verdicts.on_evidence(evidence, now);
    for (const auto& digest : evidence.under_way) {
      if (this->ended_well.contains(digest, now) && this->verdicts.on_good_end(digest, now)) {
        this->tell_good_end(digest);
      }
    }
    for (const auto& digest : evidence.ended_well) {
      this->withdraw(digest);
    }
  }
  if (!news.empty()) {
    this->after_verdicts();
  }
}

void crash_guard::after_verdicts() {
  const auto now = EventLoop::now();
  this->context.counters.bars_withdrawn = this->verdicts.withdrawn();
  for (const auto& bar : this->verdicts.take_bars()) {
    this->context.counters.requests_barred += 1;
    logEvent(now.count(), "request_barred",
             {{"digest", format_digest(bar.digest)},
              {"instances", join(bar.instances)},
              {"length_us", std::to_string(bar.length.count())}});
  }
  this->reconsider_waiting();
}

auto crash_guard::enter(const std::shared_ptr<InboundRequest>& request,
                        isolation_lane::request_id id, TimePoint give_up) -> bool {
  this->context.counters.isolated += 1;
  if (this->lane.enter(id, give_up)) {
    return true;
  }
  this->waiting[id] = request;
  this->pump_timer.after(std::max(give_up - EventLoop::now(), Duration(0)),
                         [this] { this->pump(); });
  return false;
}

// Those that wait are told in a later turn: whoever leaves is in the middle of its own end.
void crash_guard::leave(isolation_lane::request_id id) {
  this->lane.leave(id);
  this->waiting.erase(id);
  if (this->lane.waiting() > 0) {
    this->pump_timer.after(Duration(0), [this] { this->pump(); });
  }
}

void crash_guard::pump() {
  const auto now = EventLoop::now();
  const auto take_waiting = [this](isolation_lane::request_id id) {
    const auto found = this->waiting.find(id);
    auto request = found == this->waiting.end() ? nullptr : found->second.lock();
    this->waiting.erase(id);
    return request;
  };
  for (const auto id : this->lane.take_expired(now)) {
    const auto request = take_waiting(id);
    if (request != nullptr) {
      request->onIsolationEnded();
    }
  }
  while (const auto id = this->lane.take_next()) {
    const auto request = take_waiting(*id);
    if (request == nullptr) {
      this->lane.leave(*id);
      continue;
    }
    request->onAlone();
  }
  const auto next = this->lane.next_expiry();
  if (next) {
    this->pump_timer.after(std::max(*next - now, Duration(0)), [this] { this->pump(); });
  }
}

// A verdict on one request may clear the others.
void crash_guard::reconsider_waiting() {
  const auto before = std::exchange(this->waiting, {});
  for (const auto& [id, weak] : before) {
    this->lane.leave(id);
  }
  for (const auto& [id, weak] : before) {
    const auto request = weak.lock();
    if (request != nullptr) {
      request->reconsider();
    }
  }
}

}  // namespace ramppond
