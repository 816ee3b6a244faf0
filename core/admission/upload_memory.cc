#include "core/admission/upload_memory.h"

#include <algorithm>

namespace ramppond {
namespace {

// An upload counts as at least this old. Without a minimum, one that has just begun would appear
// infinitely fast or slow by the time of its first packet.
constexpr Duration min_age = milliseconds(200);

auto bytes_per_second(std::uint64_t bytes, Duration age) -> double {
  const auto time = std::max(age, min_age);
  return static_cast<double>(bytes) / std::chrono::duration<double>(time).count();
}

}  // namespace

void upload_memory::begin(upload_id id, TimePoint now) {
  this->uploads[id] = {now, 0, false};
}

auto upload_memory::on_received(upload_id id, byte_count more, TimePoint now)
    -> std::vector<upload_id> {
  auto stopped = std::vector<upload_id>();
  const auto found = this->uploads.find(id);
  if (found == this->uploads.end()) {
    return stopped;
  }
  found->second.bytes += more.value;
  this->total.value += more.value;
  while (this->total.value > this->capacity.value) {
    const auto next = this->slowest(now);
    if (next == this->uploads.end()) {
      break;
    }
    stopped.push_back(next->first);
    this->remove(next);
  }
  return stopped;
}

auto upload_memory::slowest(TimePoint now) -> uploads_by_id::iterator {
  auto slowest = this->uploads.end();
  auto lowest_rate = 0.0;
  for (auto it = this->uploads.begin(); it != this->uploads.end(); ++it) {
    const auto& candidate = it->second;
    if (candidate.complete || candidate.bytes == 0) {
      continue;
    }
    const auto rate = bytes_per_second(candidate.bytes, now - candidate.begun);
    if (slowest == this->uploads.end() || rate < lowest_rate) {
      slowest = it;
      lowest_rate = rate;
    }
  }
  return slowest;
}

auto upload_memory::try_hold(upload_id id, byte_count size) -> bool {
  if (this->total.value + size.value > this->capacity.value) {
    return false;
  }
  this->uploads[id] = {TimePoint(0), size.value, true};
  this->total.value += size.value;
  return true;
}

void upload_memory::on_complete(upload_id id) {
  const auto found = this->uploads.find(id);
  if (found != this->uploads.end()) {
    found->second.complete = true;
  }
}

void upload_memory::release(upload_id id) {
  const auto found = this->uploads.find(id);
  if (found != this->uploads.end()) {
    this->remove(found);
  }
}

void upload_memory::remove(uploads_by_id::iterator found) {
  this->total.value -= found->second.bytes;
  this->uploads.erase(found);
}

}  // namespace ramppond
