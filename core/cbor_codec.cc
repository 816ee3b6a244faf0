#include "core/cbor_codec.h"

#include <cbor.h>

#include <array>
#include <limits>

namespace ramppond {
namespace {

constexpr std::size_t kMaximumHeadBytes = 9;  // Initial byte and 8-byte argument.

}  // namespace

void CborWriter::append(const unsigned char* data, std::size_t size) {
  buffer_.append(reinterpret_cast<const char*>(data), size);
}

void CborWriter::writeUnsigned(std::uint64_t value) {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_uint(value, head.data(), head.size()));
}

void CborWriter::writeSigned(std::int64_t value) {
  if (value >= 0) {
    writeUnsigned(static_cast<std::uint64_t>(value));
    return;
  }
  std::array<unsigned char, kMaximumHeadBytes> head{};
  const auto argument = static_cast<std::uint64_t>(-(value + 1));
  append(head.data(), cbor_encode_negint(argument, head.data(), head.size()));
}

void CborWriter::writeBool(bool value) {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_bool(value, head.data(), head.size()));
}

void CborWriter::writeBytes(const std::string& value) {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_bytestring_start(value.size(), head.data(), head.size()));
  buffer_.append(value);
}

void CborWriter::writeItem(const std::string& item) {
  buffer_ += item;
}

void CborWriter::startArray(std::size_t size) {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_array_start(size, head.data(), head.size()));
}

void CborWriter::startMap() {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_indef_map_start(head.data(), head.size()));
}

void CborWriter::end() {
  std::array<unsigned char, kMaximumHeadBytes> head{};
  append(head.data(), cbor_encode_break(head.data(), head.size()));
}

std::optional<std::uint64_t> CborValue::asUnsigned() const {
  if (!cbor_isa_uint(item_)) {
    return std::nullopt;
  }
  return cbor_get_int(item_);
}

std::optional<std::int64_t> CborValue::asSigned() const {
  constexpr auto kLargest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const bool integer = cbor_isa_uint(item_) || cbor_isa_negint(item_);
  if (!integer || cbor_get_int(item_) > kLargest) {
    return std::nullopt;
  }
  const auto argument = static_cast<std::int64_t>(cbor_get_int(item_));
  return cbor_isa_uint(item_) ? argument : -1 - argument;
}

std::optional<bool> CborValue::asBool() const {
  if (!cbor_isa_float_ctrl(item_) || !cbor_float_ctrl_is_ctrl(item_) || !cbor_is_bool(item_)) {
    return std::nullopt;
  }
  return cbor_get_bool(item_);
}

std::optional<std::string> CborValue::asBytes() const {
  if (!cbor_isa_bytestring(item_) || !cbor_bytestring_is_definite(item_)) {
    return std::nullopt;
  }
  const auto* data = reinterpret_cast<const char*>(cbor_bytestring_handle(item_));
  return std::string(data, cbor_bytestring_length(item_));
}

std::optional<std::vector<CborValue>> CborValue::asArray() const {
  if (!cbor_isa_array(item_)) {
    return std::nullopt;
  }
  std::vector<CborValue> elements;
  cbor_item_t** items = cbor_array_handle(item_);
  for (std::size_t index = 0; index < cbor_array_size(item_); ++index) {
    elements.emplace_back(items[index]);
  }
  return elements;
}

bool CborValue::isMap() const {
  return cbor_isa_map(item_);
}

std::optional<CborValue> CborValue::field(std::uint64_t key) const {
  const cbor_pair* pairs = cbor_map_handle(item_);
  for (std::size_t index = 0; index < cbor_map_size(item_); ++index) {
    if (cbor_isa_uint(pairs[index].key) && cbor_get_int(pairs[index].key) == key) {
      return CborValue(pairs[index].value);
    }
  }
  return std::nullopt;
}

CborDocument::CborDocument(const std::string& bytes) {
  if (bytes.empty()) {
    return;
  }
  cbor_load_result result{};
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  item_ = cbor_load(data, bytes.size(), &result);
  const bool whole = result.error.code == CBOR_ERR_NONE && result.read == bytes.size();
  if (item_ != nullptr && !whole) {
    cbor_decref(&item_);
    item_ = nullptr;
  }
}

CborDocument::~CborDocument() {
  if (item_ != nullptr) {
    cbor_decref(&item_);
  }
}

std::optional<CborValue> CborDocument::root() const {
  if (item_ == nullptr) {
    return std::nullopt;
  }
  return CborValue(item_);
}

}  // namespace ramppond
