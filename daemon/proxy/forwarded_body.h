// The body of a forwarded request, as far as it must be held to be sent to a server.
//
// A short body is held whole, so that each attempt can send it. A longer one is passed on by the
// first attempt while the rest still arrives; its parts are held only until that attempt begins.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ramppond {

/// Bodies below this size are held. Above it a proxy with many uploads would hold them all in
/// memory; below it, common forms could not be sent to a second server.
constexpr auto max_held_body = std::size_t(65536);

class forwarded_body {
 public:
  enum class state : std::uint8_t {
    arriving,   // held so far; an attempt waits for the rest
    held,       // all of it has come and is held
    streaming,  // too long to be held; the rest is still to come
    streamed,   // too long to be held; all of it has come
  };

  /// Bytes that came so far, held or not.
  [[nodiscard]] auto size() const -> std::uint64_t { return this->received; }
  void count(std::size_t bytes) { this->received += bytes; }

  void append(std::string_view data) { this->kept.append(data); }
  [[nodiscard]] auto exceeds_hold() const -> bool { return this->kept.size() >= max_held_body; }
  /// It is not held for further attempts any more.
  void stream() { this->now = this->ended() ? state::streamed : state::streaming; }
  void end() { this->now = this->is_streamed() ? state::streamed : state::held; }
  /// What was held has been sent.
  void release() { std::string().swap(this->kept); }

  /// What is held: what an attempt begins with.
  [[nodiscard]] auto bytes() const -> const std::string& { return this->kept; }
  [[nodiscard]] auto ended() const -> bool {
    return this->now == state::held || this->now == state::streamed;
  }
  [[nodiscard]] auto is_streamed() const -> bool {
    return this->now == state::streaming || this->now == state::streamed;
  }

 private:
  state now = state::arriving;
  std::string kept;
  std::uint64_t received = 0;
};

}  // namespace ramppond
