// Bounds the memory that a proxy spends on buffered request bodies of uploads.
//
// Input: the bytes of each upload as they arrive and when it is complete or has ended (`TimePoint`
// in microseconds). Output: the uploads that must stop buffering for the total to fit. Owns the
// byte count of each upload. No I/O; not thread safe.
//
// An upload that is buffered whole is withheld from its server until there is a free slot, and can
// be sent to another server. An upload that stops buffering is streamed: it has one attempt. A slow
// sender occupies memory for longer, so when memory is short the slowest uploads stop first.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/byte_count.h"
#include "core/time.h"

namespace ramppond {

/// Identifies one upload; unique within a proxy.
enum class upload_id : std::uint64_t {};

class upload_memory {
 public:
  explicit upload_memory(byte_count capacity) : capacity(capacity) {}

  /// Starts to count the upload `id`.
  void begin(upload_id id, TimePoint now);
  /// Records that `more` bytes of `id` arrived to be buffered. Returns the uploads that must stop
  /// buffering now, `id` possibly among them; they are no longer counted.
  [[nodiscard]] auto on_received(upload_id id, byte_count more, TimePoint now)
      -> std::vector<upload_id>;
  /// Counts an upload of known size that is buffered whole. Returns false, and counts nothing, if
  /// it does not fit.
  [[nodiscard]] auto try_hold(upload_id id, byte_count size) -> bool;
  /// The upload is buffered whole. Its memory stays counted until release().
  void on_complete(upload_id id);
  /// The upload holds no more memory. Ignored if it is not counted.
  void release(upload_id id);

  /// Bytes counted for all uploads.
  [[nodiscard]] auto held() const -> byte_count { return this->total; }

 private:
  struct upload {
    TimePoint begun{0};
    std::uint64_t bytes = 0;
    bool complete = false;
  };
  using uploads_by_id = std::map<upload_id, upload>;

  /// The incomplete upload that buffers the least bytes per second; end() if there is none.
  [[nodiscard]] auto slowest(TimePoint now) -> uploads_by_id::iterator;
  void remove(uploads_by_id::iterator found);

  byte_count capacity;
  byte_count total;
  uploads_by_id uploads;
};

}  // namespace ramppond
