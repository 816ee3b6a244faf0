#include "daemon/proxy/upload_buffers.h"

#include "daemon/proxy/forwarded_request.h"

namespace ramppond {

auto upload_buffers::next_id() -> upload_id {
  this->last_id += 1;
  return static_cast<upload_id>(this->last_id);
}

auto upload_buffers::try_hold(byte_count size) -> std::optional<upload_id> {
  const auto id = this->next_id();
  return this->memory.try_hold(id, size) ? std::optional(id) : std::nullopt;
}

auto upload_buffers::add(ForwardedRequest& request, TimePoint now) -> upload_id {
  const auto id = this->next_id();
  this->requests[id] = &request;
  this->memory.begin(id, now);
  return id;
}

void upload_buffers::on_received(upload_id id, byte_count more, TimePoint now) {
  for (const auto stopped : this->memory.on_received(id, more, now)) {
    const auto found = this->requests.find(stopped);
    if (found == this->requests.end()) {
      continue;
    }
    auto* const request = found->second;
    this->requests.erase(found);
    this->stopped_count += 1;
    request->stopBuffering();
  }
}

void upload_buffers::remove(upload_id id) {
  this->memory.release(id);
  this->requests.erase(id);
}

}  // namespace ramppond
