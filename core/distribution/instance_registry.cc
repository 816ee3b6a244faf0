#include "core/distribution/instance_registry.h"

namespace ramppond {

bool InstanceRegistry::offer(const InstanceRecord& record) {
  Entry& entry = records_[record.daemon_address];
  if (entry.changed != 0 && !record.isNewerThan(entry.record)) {
    return false;
  }
  changes_.erase(entry.changed);
  counter_ += 1;
  entry.record = record;
  entry.changed = counter_;
  changes_[counter_] = record.daemon_address;
  return true;
}

const InstanceRecord* InstanceRegistry::find(const std::string& daemon_address) const {
  const auto found = records_.find(daemon_address);
  return found == records_.end() ? nullptr : &found->second.record;
}

std::vector<InstanceRecord> InstanceRegistry::changesSince(std::uint64_t since) const {
  std::vector<InstanceRecord> changed;
  for (auto change = changes_.upper_bound(since); change != changes_.end(); ++change) {
    changed.push_back(records_.at(change->second).record);
  }
  return changed;
}

}  // namespace ramppond
