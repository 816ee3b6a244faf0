// The part of a forwarded request's body that must be buffered to be sent to a server.
//
// A short body is buffered whole, so that each attempt can send it. A longer body is streamed by
// the first attempt while the rest arrives, and its beginning is buffered only until that attempt
// starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ramppond {

/// Bodies below this size are buffered whole. With a larger limit, a proxy with many uploads would
/// hold them all in memory; with a smaller one, common forms could not be sent to a second server.
constexpr auto max_buffered_body_bytes = std::size_t(65536);

/// The same for uploads, whose total is bounded separately (upload_buffers). The server's proxy
/// keeps a slot for confirmation_time while the rest of a withheld body is transferred; on a slow
/// link, the transfer of a larger body would exceed this time and be refused.
constexpr auto max_buffered_upload_bytes = std::size_t(1) << 20U;

class forwarded_body {
 public:
  enum class state : std::uint8_t {
    receiving,  // buffered so far; an attempt waits for the rest
    buffered,   // received whole and buffered
    streaming,  // too long to buffer; more is to come
    streamed,   // too long to buffer; received whole
  };

  /// Bytes received so far, whether still buffered or not.
  [[nodiscard]] auto size() const -> std::uint64_t { return this->received_bytes; }
  void count_received(std::size_t bytes) { this->received_bytes += bytes; }

  void append(std::string_view data) { this->buffer.append(data); }
  [[nodiscard]] auto exceeds_buffer_limit(std::size_t limit = max_buffered_body_bytes) const
      -> bool {
    return this->buffer.size() >= limit;
  }
  /// Stops buffering for later attempts: the body is streamed by the current one.
  void start_streaming() {
    this->current_state = this->ended() ? state::streamed : state::streaming;
  }
  void end() { this->current_state = this->is_streamed() ? state::streamed : state::buffered; }
  /// Drops the buffered bytes, which have been sent.
  void release_buffer() { std::string().swap(this->buffer); }

  /// The buffered bytes, which an attempt sends first.
  [[nodiscard]] auto bytes() const -> const std::string& { return this->buffer; }
  [[nodiscard]] auto ended() const -> bool {
    return this->current_state == state::buffered || this->current_state == state::streamed;
  }
  [[nodiscard]] auto is_streamed() const -> bool {
    return this->current_state == state::streaming || this->current_state == state::streamed;
  }

 private:
  state current_state = state::receiving;
  std::string buffer;
  std::uint64_t received_bytes = 0;
};

}  // namespace ramppond
