#include "core/crash_evidence/evidence_log.h"

#include <algorithm>

namespace ramppond {
namespace {

// With fewer, a burst of crashes would evict the records that a block is based on. At up to 4 KB
// each they take 1 MB of a snapshot. The newest are kept.
constexpr auto max_kept = std::size_t(256);

auto age_at(const dated_evidence& dated, std::int64_t clock_ms) -> Duration {
  return std::max<Duration>(milliseconds(clock_ms - dated.when_ms), Duration(0));
}

}  // namespace

auto evidence_log::wants(const instance_evidence& evidence) const -> bool {
  const auto known = this->by_instance.find(evidence.instance_id);
  return known == this->by_instance.end() ? !evidence.under_way.empty()
                                          : evidence.revision > known->second.evidence.revision;
}

void evidence_log::apply(const evidence_batch& batch, std::int64_t leader_clock_ms) {
  for (const auto& evidence : batch.records) {
    if (!this->wants(evidence)) {
      continue;
    }
    const auto age_ms = std::chrono::duration_cast<milliseconds>(evidence.age).count();
    this->by_instance[evidence.instance_id] = {evidence, leader_clock_ms - age_ms};
  }
  this->drop_old(leader_clock_ms);
}

void evidence_log::drop_old(std::int64_t clock_ms) {
  for (auto entry = this->by_instance.begin(); entry != this->by_instance.end();) {
    const auto is_old = age_at(entry->second, clock_ms) >= evidence_lifetime;
    entry = is_old ? this->by_instance.erase(entry) : std::next(entry);
  }
  while (this->by_instance.size() > max_kept) {
    this->by_instance.erase(std::min_element(
        this->by_instance.begin(), this->by_instance.end(),
        [](const auto& a, const auto& b) { return a.second.when_ms < b.second.when_ms; }));
  }
}

auto evidence_log::records_at(std::int64_t clock_ms) const -> std::vector<instance_evidence> {
  auto records = std::vector<instance_evidence>();
  for (const auto& [instance, dated] : this->by_instance) {
    const auto age = age_at(dated, clock_ms);
    if (age < evidence_lifetime) {
      records.push_back(dated.evidence);
      records.back().age = age;
    }
  }
  return records;
}

auto evidence_log::snapshot() const -> std::vector<dated_evidence> {
  auto records = std::vector<dated_evidence>();
  for (const auto& [instance, dated] : this->by_instance) {
    records.push_back(dated);
  }
  return records;
}

void evidence_log::restore(const std::vector<dated_evidence>& records) {
  this->by_instance.clear();
  for (const auto& dated : records) {
    this->by_instance[dated.evidence.instance_id] = dated;
  }
}

}  // namespace ramppond
