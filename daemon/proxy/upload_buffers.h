// The uploads that this proxy buffers: forwarded ones for withholding and for further attempts,
// inbound ones until their last chunk arrives.
//
// Applies the decisions of core/admission/upload_memory.h: tells a forwarded upload to stop
// buffering when the memory for all of them is short. Relies on requests that remove themselves
// before they end. Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/admission/upload_memory.h"

namespace ramppond {

class ForwardedRequest;

class upload_buffers {
 public:
  explicit upload_buffers(byte_count capacity) : memory(capacity) {}

  /// Starts to count the body of a forwarded upload. `request` must call remove() before it ends.
  auto add(ForwardedRequest& request, TimePoint now) -> upload_id;
  /// Counts received bytes; calls ForwardedRequest::stopBuffering() of each upload that must stop,
  /// which is then removed. That may be the upload itself.
  void on_received(upload_id id, byte_count more, TimePoint now);
  /// Counts an inbound upload of known size; std::nullopt if its memory is not available.
  auto try_hold(byte_count size) -> std::optional<upload_id>;
  /// The forwarded upload is buffered whole. Its memory stays counted until remove().
  void on_complete(upload_id id) { this->memory.on_complete(id); }
  /// The upload has ended or is streamed. Ignored if it was removed before.
  void remove(upload_id id);

  /// Bytes counted for all uploads.
  [[nodiscard]] auto held() const -> byte_count { return this->memory.held(); }
  /// Uploads since the start that were streamed for lack of memory.
  [[nodiscard]] auto stopped() const -> std::uint64_t { return this->stopped_count; }

 private:
  auto next_id() -> upload_id;

  upload_memory memory;
  std::uint64_t last_id = 0;
  std::uint64_t stopped_count = 0;
  std::map<upload_id, ForwardedRequest*> requests;  // forwarded uploads that may have to stop
};

}  // namespace ramppond
