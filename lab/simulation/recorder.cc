#include "lab/simulation/recorder.h"

#include <algorithm>

namespace ramppond {

BucketCounts& Recorder::bucket(WorkKind kind, TimePoint now) {
  auto& buckets = figures_.buckets.at(static_cast<std::size_t>(kind));
  const auto index = static_cast<std::size_t>(now / kBucket);
  if (buckets.size() <= index) {
    buckets.resize(index + 1);
  }
  return buckets[index];
}

void Recorder::offered(WorkKind kind, const std::string& caller_class, TimePoint now) {
  bucket(kind, now).offered += 1;
  figures_.offered_by_class[caller_class] += 1;
}

void Recorder::completed(WorkKind kind, const std::string& caller_class, const std::string& nonce,
                         Duration latency, TimePoint now) {
  bucket(kind, now).completed += 1;
  figures_.latencies_us.at(static_cast<std::size_t>(kind)).push_back(latency.count());
  figures_.completed_by_class[caller_class] += 1;
  const auto used = slot_us_.find(nonce);
  if (used != slot_us_.end()) {
    figures_.slot_us_useful += used->second;
    bucket(kind, now).useful_us += used->second;
    slot_us_.erase(used);
  }
}

void Recorder::attemptEnded(const std::string& nonce) {
  const auto found = wire_.find(nonce);
  if (found != wire_.end()) {
    settleWire(found->second);
    wire_.erase(found);
  }
}

void Recorder::settleWire(const WireCounts& counts) {
  const std::uint64_t retries = counts.sent - counts.nodes.size();
  figures_.retries += retries;
  figures_.most_retries = std::max(figures_.most_retries, retries);
}

void Recorder::slotUsed(const std::string& nonce, Duration time) {
  const auto used = static_cast<double>(time.count());
  figures_.slot_us_total += used;
  slot_us_[nonce] += used;
}

void Recorder::attemptOnWire(const std::string& nonce, const std::string& call) {
  WireCounts& counts = wire_[nonce];
  counts.sent += 1;
  counts.nodes.insert(call);
}

RunFigures Recorder::figures() {
  for (const auto& [nonce, counts] : wire_) {
    settleWire(counts);
  }
  wire_.clear();
  return figures_;
}

}  // namespace ramppond
