// CBOR codec (RFC 8949): encode() and decode() for every struct that lists its fields in
// visitFields().
//
// A struct is encoded as a map from field number to value. The decoder keeps the default value of a
// missing field and ignores unknown fields, so that different versions can communicate. A field of
// the wrong type, a value out of range or trailing bytes make the whole message invalid. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "core/time.h"

struct cbor_item_t;

namespace ramppond {

/// Appends CBOR data items to a buffer.
class CborWriter {
 public:
  void writeUnsigned(std::uint64_t value);
  void writeSigned(std::int64_t value);
  void writeBool(bool value);
  void writeBytes(const std::string& value);
  /// Appends one complete data item that is already encoded.
  void writeItem(const std::string& item);
  void startArray(std::size_t size);
  void startMap();
  void end();
  std::string take() { return std::move(buffer_); }

 private:
  void append(const unsigned char* data, std::size_t size);

  std::string buffer_;
};

/// A view of one decoded data item, valid for the lifetime of its CborDocument.
class CborValue {
 public:
  explicit CborValue(const cbor_item_t* item) : item_(item) {}

  [[nodiscard]] std::optional<std::uint64_t> asUnsigned() const;
  [[nodiscard]] std::optional<std::int64_t> asSigned() const;
  [[nodiscard]] std::optional<bool> asBool() const;
  [[nodiscard]] std::optional<std::string> asBytes() const;
  /// The elements of an array; std::nullopt for any other item.
  [[nodiscard]] std::optional<std::vector<CborValue>> asArray() const;
  [[nodiscard]] bool isMap() const;
  /// The value of an unsigned key of a map; std::nullopt if the key is missing. Call only on a map.
  [[nodiscard]] std::optional<CborValue> field(std::uint64_t key) const;

 private:
  const cbor_item_t* item_;
};

/// Owns the items of one decoded message.
class CborDocument {
 public:
  explicit CborDocument(const std::string& bytes);
  ~CborDocument();
  CborDocument(const CborDocument&) = delete;
  CborDocument& operator=(const CborDocument&) = delete;

  /// The data item; std::nullopt if the bytes are not exactly one well-formed item.
  [[nodiscard]] std::optional<CborValue> root() const;

 private:
  cbor_item_t* item_ = nullptr;
};

/// A field with the same value in many messages. The writer encodes the value once and reuses the
/// bytes for each message; the reader decodes `value`. On the wire it is a plain T.
template <class T>
struct Preencoded {
  Preencoded() = default;
  Preencoded(T initial) : value(std::move(initial)) {}  // NOLINT(google-explicit-constructor)

  T value;
  std::string bytes;  ///< The encoded value; empty if it is not encoded yet.
};

namespace codec_detail {

template <class T>
struct IsPreencoded : std::false_type {};
template <class T>
struct IsPreencoded<Preencoded<T>> : std::true_type {};

template <class T, class = void>
struct IsStruct : std::false_type {};
struct NullVisitor {
  static constexpr bool kReading = true;
  template <class T>
  void operator()(std::uint64_t, T&) {}
};
template <class T>
struct IsStruct<T,
                std::void_t<decltype(std::declval<T&>().visitFields(std::declval<NullVisitor&>()))>>
    : std::true_type {};

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};

template <class T>
bool isEmptyContainer(const T& value) {
  if constexpr (IsVector<T>::value || std::is_same_v<T, std::string>) {
    return value.empty();
  } else {
    return false;
  }
}

template <class T>
void writeValue(CborWriter& writer, const T& value);

struct FieldWriter {
  static constexpr bool kReading = false;
  CborWriter& writer;
  template <class T>
  void operator()(std::uint64_t key, const T& value) {
    if (isEmptyContainer(value)) {
      return;  // An empty container is the default, so the field is omitted.
    }
    writer.writeUnsigned(key);
    writeValue(writer, value);
  }
};

template <class T>
void writeValue(CborWriter& writer, const T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    writer.writeBool(value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    writer.writeBytes(value);
  } else if constexpr (std::is_same_v<T, Duration>) {
    writer.writeSigned(value.count());
  } else if constexpr (std::is_enum_v<T>) {
    writer.writeUnsigned(static_cast<std::uint64_t>(value));
  } else if constexpr (std::is_unsigned_v<T>) {
    writer.writeUnsigned(value);
  } else if constexpr (std::is_signed_v<T>) {
    writer.writeSigned(value);
  } else if constexpr (IsPreencoded<T>::value) {
    value.bytes.empty() ? writeValue(writer, value.value) : writer.writeItem(value.bytes);
  } else if constexpr (IsVector<T>::value) {
    writer.startArray(value.size());
    for (const auto& element : value) {
      writeValue(writer, element);
    }
  } else {
    static_assert(IsStruct<T>::value, "a message field needs visitFields()");
    writer.startMap();
    FieldWriter fields{writer};
    const_cast<T&>(value).visitFields(fields);
    writer.end();
  }
}

template <class T>
bool readValue(const CborValue& source, T& value);

struct FieldReader {
  static constexpr bool kReading = true;
  const CborValue& source;
  bool valid = true;
  template <class T>
  void operator()(std::uint64_t key, T& value) {
    const auto field = source.field(key);
    valid = valid && (!field || readValue(*field, value));
  }
};

template <class T, class Wide>
bool narrow(const std::optional<Wide>& wide, T& value) {
  if (!wide || static_cast<Wide>(static_cast<T>(*wide)) != *wide) {
    return false;
  }
  value = static_cast<T>(*wide);
  return true;
}

template <class T>
bool readArray(const CborValue& source, std::vector<T>& value) {
  const auto elements = source.asArray();
  if (!elements) {
    return false;
  }
  value.clear();
  for (const CborValue& element : *elements) {
    value.emplace_back();
    if (!readValue(element, value.back())) {
      return false;
    }
  }
  return true;
}

template <class T>
bool readValue(const CborValue& source, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    return narrow(source.asBool(), value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    auto bytes = source.asBytes();
    if (bytes) {
      value = std::move(*bytes);
    }
    return bytes.has_value();
  } else if constexpr (std::is_same_v<T, Duration>) {
    const auto count = source.asSigned();
    value = Duration(count.value_or(0));
    return count.has_value();
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> raw{};
    const bool valid = readValue(source, raw);
    value = static_cast<T>(raw);
    return valid;
  } else if constexpr (std::is_unsigned_v<T>) {
    return narrow(source.asUnsigned(), value);
  } else if constexpr (std::is_signed_v<T>) {
    return narrow(source.asSigned(), value);
  } else if constexpr (IsPreencoded<T>::value) {
    return readValue(source, value.value);
  } else if constexpr (IsVector<T>::value) {
    return readArray(source, value);
  } else {
    if (!source.isMap()) {
      return false;
    }
    FieldReader fields{source};
    value.visitFields(fields);
    return fields.valid;
  }
}

}  // namespace codec_detail

template <class T>
std::string encode(const T& message) {
  CborWriter writer;
  codec_detail::writeValue(writer, message);
  return writer.take();
}

/// Decodes a message; returns std::nullopt if `bytes` is not a valid encoding of T.
template <class T>
std::optional<T> decode(const std::string& bytes) {
  const CborDocument document(bytes);
  const auto root = document.root();
  T message;
  if (!root || !codec_detail::readValue(*root, message)) {
    return std::nullopt;
  }
  return message;
}

}  // namespace ramppond
