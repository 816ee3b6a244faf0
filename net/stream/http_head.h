// The head of an HTTP/1.1 message (RFC 9112) as the forwarding path passes it on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ramppond {

struct HttpField {
  std::string name;
  std::string value;
};

/// Whether `text` may name a field: a token (RFC 9110, 5.1 and 5.6.2).
bool isFieldName(std::string_view text);

/// Compares field names without regard to case.
bool equalNames(std::string_view left, std::string_view right);

struct HttpHead {
  std::string method;  ///< Requests.
  std::string target;  ///< Requests: as it came.
  int status = 0;      ///< Responses.
  std::string reason;  ///< Responses.
  bool http_1_0 = false;
  bool keep_alive = true;  ///< Whether the sender lets the connection go on.
  /// Fields as they came, in order, without those that frame the body.
  std::vector<HttpField> fields;
  std::optional<std::uint64_t> content_length;
  bool chunked = false;

  /// The first field of that name, or nothing.
  [[nodiscard]] const std::string* find(std::string_view name) const;
  [[nodiscard]] std::string get(std::string_view name) const;
  /// The values of all fields of that name, in order.
  [[nodiscard]] std::vector<std::string> all(std::string_view name) const;
  /// Removes all fields of that name.
  void remove(std::string_view name);
  /// Replaces all fields of that name by one.
  void set(std::string_view name, std::string value);
  /// Removes the fields that concern one connection only (RFC 9110, 7.6.1).
  void removeHopByHop();
};

/// How the body of a message that is written is framed.
enum class BodyFraming : std::uint8_t { kNone, kLength, kChunked };

/// How the body of a message that came is framed.
BodyFraming framingOf(const HttpHead& head);

/// The bytes of a request head or a response head, with the framing fields. Line breaks and null
/// characters in the value of a field are sent as spaces.
std::string requestHeadBytes(const HttpHead& head, BodyFraming framing);
std::string responseHeadBytes(const HttpHead& head, BodyFraming framing, bool close);
/// One chunk; `data` must not be empty.
std::string chunkBytes(std::string_view data);
/// The end of a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The standard reason phrase.
std::string_view reasonPhrase(int status);

}  // namespace ramppond
