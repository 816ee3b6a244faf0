// Counts the sockets of a process against the descriptors that it may hold.
//
// A daemon keeps idle connections to many peers. Without a bound, a burst can
// leave none for new requests: opening fails, and a process that takes its own
// lack of descriptors for a dead peer makes things worse. The quota tells in
// time when idle connections are to be given up, and when nothing new may be
// opened. One thread.
#pragma once

#include <cstdint>

namespace ramppond {

/// A number of file descriptors.
struct descriptor_count {
  std::uint32_t value = 0;
};

class socket_quota {
 public:
  /// Without a limit nothing is ever scarce.
  socket_quota() = default;

  /// `most` is what the process may hold of all kinds, its files included.
  void limit(descriptor_count most);

  void on_opened() { ++this->open_sockets.value; }
  void on_closed() { --this->open_sockets.value; }

  [[nodiscard]] auto open() const -> descriptor_count { return this->open_sockets; }

  /// Whether idle connections should be closed rather than kept.
  [[nodiscard]] auto is_scarce() const -> bool;

  /// Whether nothing may be opened, so that what is under way can end well.
  [[nodiscard]] auto is_exhausted() const -> bool;

 private:
  descriptor_count usable;  // 0 for no limit
  descriptor_count open_sockets;
};

}  // namespace ramppond
