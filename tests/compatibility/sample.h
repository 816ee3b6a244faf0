// A message with every field set, whatever its fields are called: numbers count up in the order of
// visitFields(), texts are "t" and a number, vectors have two elements.
#pragma once

#include <cstdint>
#include <string>
#include <type_traits>

#include "core/cbor_codec.h"

namespace ramppond::compatibility {

class SampleVisitor {
 public:
  static constexpr bool kReading = true;

  template <class T>
  void operator()(std::uint64_t /*key*/, T& value) {
    set(value);
  }

  template <class T>
  void set(T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = true;
    } else if constexpr (std::is_same_v<T, std::string>) {
      value = "t" + std::to_string(next());
    } else if constexpr (std::is_same_v<T, Duration>) {
      value = Duration(static_cast<std::int64_t>(next()));
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(1);
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = static_cast<T>(next());
    } else if constexpr (codec_detail::IsPreencoded<T>::value) {
      set(value.value);
    } else if constexpr (codec_detail::IsVector<T>::value) {
      value.resize(2);
      for (auto& element : value) {
        set(element);
      }
    } else {
      value.visitFields(*this);
    }
  }

 private:
  /// Stays below 100, so that it fits every field, and is never 0.
  std::uint64_t next() { return this->counter_++ % 99 + 1; }

  std::uint64_t counter_ = 0;
};

template <class T>
T sampleOf() {
  T message;
  SampleVisitor().set(message);
  return message;
}

}  // namespace ramppond::compatibility
