#include "core/distribution/instance_registry.h"

namespace ramppond {

bool InstanceRegistry::offer(const InstanceRecord& record) {
  Entry& entry = records_[record.proxy_address];
  if (entry.changed != 0 && !record.isNewerThan(entry.record)) {
    return false;
  }
  changes_.erase(entry.changed);
  counter_ += 1;
  entry.record = record;
  entry.encoded = encode(record);
  entry.changed = counter_;
  digests_.put(record);
  changes_[counter_] = record.proxy_address;
  return true;
}

const InstanceRecord* InstanceRegistry::find(const std::string& proxy_address) const {
  const auto found = records_.find(proxy_address);
  return found == records_.end() ? nullptr : &found->second.record;
}

std::vector<bool> InstanceRegistry::matchingBuckets(const std::vector<std::uint64_t>& known) const {
  std::vector<bool> matches(record_digests::bucket_count, false);
  if (known.size() != matches.size()) {
    return matches;
  }
  for (std::size_t bucket = 0; bucket < matches.size(); ++bucket) {
    matches[bucket] = known[bucket] == digests_.buckets()[bucket];
  }
  return matches;
}

RegistryChanges InstanceRegistry::changesSince(std::uint64_t since, std::size_t max_records,
                                               const std::vector<std::uint64_t>& known) const {
  const std::vector<bool> matches = matchingBuckets(known);
  RegistryChanges changes;
  for (auto change = changes_.upper_bound(since); change != changes_.end(); ++change) {
    const auto& [counter, proxy] = *change;
    if (matches[record_digests::bucket_of(proxy)]) {
      continue;
    }
    if (changes.records.size() == max_records) {
      return changes;
    }
    changes.records.emplace_back();
    changes.records.back().bytes = records_.at(proxy).encoded;
    changes.counter = counter;
  }
  changes.counter = counter_;
  return changes;
}

}  // namespace ramppond
