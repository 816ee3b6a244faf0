// Bytes of a connection that have arrived and are not parsed yet.
//
// Adding and removing bytes takes time in proportion to these bytes alone, however many are held: a
// peer that sends a message in many small parts costs no more than one that sends it at once.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ramppond {

class InputBuffer {
 public:
  [[nodiscard]] bool empty() const { return size() == 0; }
  [[nodiscard]] std::size_t size() const { return bytes_.size() - begin_; }
  /// Valid until the buffer is changed.
  [[nodiscard]] std::string_view view() const { return std::string_view(bytes_).substr(begin_); }
  void append(std::string_view bytes) { bytes_.append(bytes); }
  /// Removes the first `count` bytes; at most size().
  void consume(std::size_t count);
  /// Removes all bytes and returns their memory.
  void clear();

 private:
  std::string bytes_;
  std::size_t begin_ = 0;  ///< Of the bytes that are held.
};

}  // namespace ramppond
