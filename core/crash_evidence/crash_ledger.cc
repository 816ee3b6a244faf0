#include "core/crash_evidence/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

// Records of successive instances beside this proxy. With fewer, a server that keeps crashing would
// lose the records that identify its harmful requests.
constexpr auto max_own_records = std::size_t(16);
// A record lists the successes of this time. If it were shorter, a success could be lost when the
// next record replaces the one that lists it before that one was sent.
constexpr auto success_reported_for = seconds(10);

}  // namespace

// A recent success at the own server outweighs reports from other proxies.
auto crash_ledger::judge(const request_digest& digest, TimePoint now) const -> suspicion_state {
  return this->successes.contains(digest, now) ? suspicion_state(unsuspected{})
                                               : this->attribution.suspicion_of(digest, now);
}

void crash_ledger::on_reported_crash(const request_digest& digest, TimePoint now) {
  this->attribution.on_reported_crash(digest, now);
}

void crash_ledger::on_lost(const server_run& run, TimePoint now) {
  this->detector.on_lost(run, now);
}

void crash_ledger::on_abandoned(const server_run& run, TimePoint now) {
  this->detector.on_abandoned(run, now);
}

void crash_ledger::on_alive(TimePoint begun) {
  this->detector.on_alive(begun);
}

auto crash_ledger::on_server_gone(const server_instance& server, TimePoint now)
    -> std::optional<crash_report> {
  const auto crashed = this->detector.on_gone(server.id, now);
  if (!crashed) {
    return std::nullopt;
  }
  auto report = crash_report();
  report.under_way = crashed->under_way.size();
  report.candidates = this->without_successes(crashed->under_way, now);
  report.isolated = this->without_successes(crashed->isolated, now);
  report.candidates.resize(std::min(report.candidates.size(), max_under_way));
  auto& record = this->record_of(server);
  record.when = now;
  record.evidence.under_way = report.candidates;
  record.evidence.isolated = report.isolated;
  this->report_record(record, now);
  this->attribution.on_evidence(record.evidence, now);
  return report;
}

auto crash_ledger::without_successes(std::vector<request_digest> digests, TimePoint now) const
    -> std::vector<request_digest> {
  const auto has_succeeded = [&](const request_digest& digest) {
    return this->successes.contains(digest, now);
  };
  digests.erase(std::remove_if(digests.begin(), digests.end(), has_succeeded), digests.end());
  return digests;
}

auto crash_ledger::record_of(const server_instance& server) -> own_record& {
  const auto found = this->own_records.find(server.id);
  if (found != this->own_records.end()) {
    return found->second;
  }
  if (this->own_order.size() >= max_own_records) {
    this->own_records.erase(this->own_order.front());
    this->own_order.pop_front();
  }
  this->own_order.push_back(server.id);
  auto& record = this->own_records[server.id];
  record.evidence.instance_id = server.id;
  record.evidence.service = server.service;
  return record;
}

void crash_ledger::report_record(own_record& record, TimePoint now) {
  record.evidence.revision += 1;
  record.evidence.age = now - record.when;
  this->unreported.push_back(record.evidence);
}

auto crash_ledger::take_unreported() -> std::vector<instance_evidence> {
  return std::exchange(this->unreported, {});
}

void crash_ledger::on_success(const request_digest& digest, const server_instance& server,
                              TimePoint now) {
  this->successes.add(digest, now);
  if (this->attribution.on_success(digest, now)) {
    this->report_success(digest, server, now);
  }
}

void crash_ledger::report_success(const request_digest& digest, const server_instance& server,
                                  TimePoint now) {
  this->cleared_for_all += 1;
  while (!this->reported_successes.empty() &&
         (this->reported_successes.size() >= max_succeeded ||
          now - this->reported_successes.front().when >= success_reported_for)) {
    this->reported_successes.pop_front();
  }
  this->reported_successes.push_back({digest, now});
  auto& record = this->record_of(server);
  record.when = now;
  record.evidence.succeeded.clear();
  for (const auto& success : this->reported_successes) {
    record.evidence.succeeded.push_back(success.digest);
  }
  this->report_record(record, now);
  this->withdraw(digest, now);
}

// A proxy that starts later receives the records of crashes but not the successes that have cleared
// requests since, so cleared requests are removed from the records.
void crash_ledger::withdraw(const request_digest& digest, TimePoint now) {
  for (auto& [instance, record] : this->own_records) {
    auto& listed = record.evidence.under_way;
    const auto found = std::find(listed.begin(), listed.end(), digest);
    if (found == listed.end()) {
      continue;
    }
    listed.erase(found);
    this->report_record(record, now);
  }
}

void crash_ledger::take(const std::vector<instance_evidence>& records,
                        const server_instance& server, TimePoint now) {
  for (const auto& evidence : records) {
    this->attribution.on_evidence(evidence, now);
    for (const auto& digest : evidence.under_way) {
      if (this->successes.contains(digest, now) && this->attribution.on_success(digest, now)) {
        this->report_success(digest, server, now);
      }
    }
    for (const auto& digest : evidence.succeeded) {
      this->withdraw(digest, now);
    }
  }
}

}  // namespace ramppond
