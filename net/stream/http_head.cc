#include "net/stream/http_head.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <ostream>  // status.hpp uses it without including it.

namespace ramppond {
namespace {

char lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr std::array<std::string_view, 8> kHopByHop = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect"};

bool isHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view known) { return equalNames(known, name); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::vector<std::string> namedByConnection(const HttpHead& head) {
  std::vector<std::string> names;
  for (const HttpField& field : head.fields) {
    if (!equalNames(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      names.emplace_back(trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

bool endsField(char character) {
  return character == '\r' || character == '\n' || character == '\0';
}

// Replaces what would end a line of the head (RFC 9110, 5.5): the rest of the text would be read as
// another field.
void appendText(std::string& bytes, const std::string& text) {
  const std::size_t begin = bytes.size();
  bytes += text;
  std::replace_if(bytes.begin() + static_cast<std::ptrdiff_t>(begin), bytes.end(), endsField, ' ');
}

void appendFields(std::string& bytes, const HttpHead& head, BodyFraming framing) {
  for (const HttpField& field : head.fields) {
    bytes += field.name;
    bytes += ": ";
    appendText(bytes, field.value);
    bytes += "\r\n";
  }
  if (framing == BodyFraming::kLength) {
    bytes += "Content-Length: ";
    bytes += std::to_string(head.content_length.value_or(0));
    bytes += "\r\n";
  } else if (framing == BodyFraming::kChunked) {
    bytes += "Transfer-Encoding: chunked\r\n";
  }
}

bool isTokenCharacter(char character) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || kSymbols.find(character) != std::string_view::npos;
}

}  // namespace

bool isFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool equalNames(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  for (std::size_t index = 0; index < left.size(); ++index) {
    if (lower(left[index]) != lower(right[index])) {
      return false;
    }
  }
  return true;
}

const std::string* HttpHead::find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (equalNames(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

std::string HttpHead::get(std::string_view name) const {
  const std::string* value = find(name);
  return value == nullptr ? std::string() : *value;
}

std::vector<std::string> HttpHead::all(std::string_view name) const {
  std::vector<std::string> values;
  for (const HttpField& field : fields) {
    if (equalNames(field.name, name)) {
      values.push_back(field.value);
    }
  }
  return values;
}

void HttpHead::remove(std::string_view name) {
  fields.erase(std::remove_if(fields.begin(), fields.end(),
                              [&](const HttpField& field) { return equalNames(field.name, name); }),
               fields.end());
}

void HttpHead::set(std::string_view name, std::string value) {
  remove(name);
  fields.push_back({std::string(name), std::move(value)});
}

void HttpHead::removeHopByHop() {
  const std::vector<std::string> named = namedByConnection(*this);
  const auto dropped = [&](const HttpField& field) {
    return isHopByHop(field.name) ||
           std::any_of(named.begin(), named.end(),
                       [&](const std::string& name) { return equalNames(name, field.name); });
  };
  fields.erase(std::remove_if(fields.begin(), fields.end(), dropped), fields.end());
}

BodyFraming framingOf(const HttpHead& head) {
  if (head.chunked) {
    return BodyFraming::kChunked;
  }
  return head.content_length ? BodyFraming::kLength : BodyFraming::kNone;
}

std::string requestHeadBytes(const HttpHead& head, BodyFraming framing) {
  std::string bytes;
  bytes.reserve(512);
  bytes += head.method;
  bytes += ' ';
  bytes += head.target;
  bytes += " HTTP/1.1\r\n";
  appendFields(bytes, head, framing);
  bytes += "\r\n";
  return bytes;
}

std::string responseHeadBytes(const HttpHead& head, BodyFraming framing, bool close) {
  std::string bytes;
  bytes.reserve(512);
  bytes += "HTTP/1.1 ";
  bytes += std::to_string(head.status);
  bytes += ' ';
  bytes += head.reason.empty() ? std::string(reasonPhrase(head.status)) : head.reason;
  bytes += "\r\n";
  appendFields(bytes, head, framing);
  if (close) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  return bytes;
}

std::string chunkBytes(std::string_view data) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t left = data.size(); left != 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  std::string bytes;
  bytes.reserve(size.size() + data.size() + 4);
  bytes += size;
  bytes += "\r\n";
  bytes += data;
  bytes += "\r\n";
  return bytes;
}

std::string_view reasonPhrase(int status) {
  const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
  const auto phrase = boost::beast::http::obsolete_reason(known);
  return {phrase.data(), phrase.size()};
}

}  // namespace ramppond
