#include "core/crash_evidence/evidence_registry.h"

namespace ramppond {
namespace {

// Three crashes identify a harmful request. With fewer records per service, servers that keep
// crashing for another reason would quickly evict those three; with more, one service would take
// the space of the others.
constexpr auto max_per_service = std::size_t(64);
// In total, at up to 4 KB each: 8 MB.
constexpr auto max_records = std::size_t(2048);

}  // namespace

auto evidence_registry::offer(const instance_evidence& evidence, TimePoint now) -> bool {
  const auto found = this->records.find(evidence.instance_id);
  const auto known = found != this->records.end();
  if (evidence.age >= evidence_lifetime || evidence.age < Duration(0) ||
      (known && evidence.revision <= found->second.evidence.revision)) {
    return false;
  }
  if (known) {
    this->drop(evidence.instance_id);
  }
  this->make_room(evidence.service, now);
  this->last_change += 1;
  auto& held = this->records[evidence.instance_id];
  held = {evidence, now - evidence.age, this->last_change};
  this->by_service[evidence.service][this->last_change] = evidence.instance_id;
  this->changes[this->last_change] = evidence.instance_id;
  return true;
}

void evidence_registry::drop(const std::string& instance_id) {
  const auto found = this->records.find(instance_id);
  const auto of_service = this->by_service.find(found->second.evidence.service);
  of_service->second.erase(found->second.changed);
  if (of_service->second.empty()) {
    this->by_service.erase(of_service);
  }
  this->changes.erase(found->second.changed);
  this->records.erase(found);
}

// Evicts expired records, and the oldest ones if the limits are reached.
void evidence_registry::make_room(const std::string& service, TimePoint now) {
  const auto is_old = [&](const std::string& instance_id) {
    return now - this->records.at(instance_id).since >= evidence_lifetime;
  };
  while (!this->changes.empty() &&
         (this->records.size() >= max_records || is_old(this->changes.begin()->second))) {
    this->drop(std::string(this->changes.begin()->second));
  }
  const auto of_service = this->by_service.find(service);
  if (of_service != this->by_service.end() && of_service->second.size() >= max_per_service) {
    this->drop(std::string(of_service->second.begin()->second));
  }
}

auto evidence_registry::changes_since(std::uint64_t since, const std::string& service,
                                      TimePoint now) const -> std::vector<instance_evidence> {
  auto found = std::vector<instance_evidence>();
  const auto of_service = this->by_service.find(service);
  if (!service.empty() && of_service == this->by_service.end()) {
    return found;
  }
  const auto& chosen = service.empty() ? this->changes : of_service->second;
  for (auto change = chosen.upper_bound(since); change != chosen.end(); ++change) {
    const auto& held = this->records.at(change->second);
    found.push_back(held.evidence);
    found.back().age = now - held.since;
  }
  return found;
}

auto evidence_registry::has_changes(std::uint64_t since, const std::string& service) const -> bool {
  const auto of_service = this->by_service.find(service);
  return of_service != this->by_service.end() && of_service->second.rbegin()->first > since;
}

}  // namespace ramppond
