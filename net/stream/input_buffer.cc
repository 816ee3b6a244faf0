#include "net/stream/input_buffer.h"

namespace ramppond {

void InputBuffer::consume(std::size_t count) {
  begin_ += count;
  if (empty()) {
    clear();
  } else if (begin_ >= size()) {
    // Moves no more bytes than were removed since the last move.
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
}

void InputBuffer::clear() {
  bytes_ = std::string();
  begin_ = 0;
}

}  // namespace ramppond
