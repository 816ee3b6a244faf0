#include "daemon/proxy/peer_headers.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <sstream>

#include "core/admission/server_load_report.h"

namespace ramppond {
namespace {

constexpr std::string_view kPrefix = "Ramppond-";
constexpr double kMaxMilliseconds = 1e10;
constexpr char kNoBody[] = "none";
constexpr char kChunkedBody[] = " chunked";
constexpr std::size_t kMaxOverloadEntries = 32;
constexpr double kThousand = 1000;
constexpr std::uint64_t kMaxPermille = 1000000;
constexpr std::uint64_t kMaxExcessPermille = 1000;
// Encoded length of a caller's name. Bounds the field, which every request between proxies carries.
constexpr std::size_t kMaxCallerBytes = 96;
constexpr std::size_t kEncodedByteLength = 3;  // '%' and two digits
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

// Converts to thousandths; unreasonably large values are clamped.
std::uint64_t thousandths(double value) {
  constexpr double kMaxThousandths = 1e12;
  return static_cast<std::uint64_t>(std::llround(std::min(value, kMaxThousandths) * kThousand));
}

std::uint64_t permille(shed_level level) {
  return static_cast<std::uint64_t>(std::lround(level.value * kThousand));
}

shed_level levelOf(std::uint64_t permille) {
  return {static_cast<double>(std::min(permille, kMaxPermille)) / kThousand};
}

// Returns whether the byte stands for itself in percent-encoded text (RFC 3986, section 2.3), or is
// the separator within a caller's name.
bool isUnreserved(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
         std::string_view("-._~/").find(letter) != std::string_view::npos;
}

std::string percentEncode(std::string_view text) {
  std::string encoded;
  for (const char letter : text) {
    const auto code = static_cast<unsigned char>(letter);
    if (isUnreserved(letter)) {
      encoded += letter;
    } else {
      encoded += {'%', kHexDigits[code >> 4U], kHexDigits[code & 0xFU]};
    }
  }
  return encoded;
}

// A digest takes the place of a name that is too long, so that its requests are still charged to
// one caller.
std::string encodeCaller(const std::string& caller) {
  std::string encoded = percentEncode(caller);
  if (encoded.size() <= kMaxCallerBytes) {
    return encoded;
  }
  return std::to_string(XXH3_64bits(caller.data(), caller.size()));
}

// Returns std::nullopt if the text is too long or malformed.
std::optional<std::string> decodeCaller(std::string_view text) {
  if (text.size() > kMaxCallerBytes) {
    return std::nullopt;
  }
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      decoded += text[at];
      continue;
    }
    const std::string_view digits = text.substr(at, kEncodedByteLength);
    const bool is_whole = digits.size() == kEncodedByteLength;
    const std::size_t high = is_whole ? kHexDigits.find(digits[1]) : std::string_view::npos;
    const std::size_t low = is_whole ? kHexDigits.find(digits[2]) : std::string_view::npos;
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    decoded += static_cast<char>(high << 4U | low);
    at += kEncodedByteLength - 1;
  }
  return decoded;
}

}  // namespace

void removePeerHeaders(HttpHead& head) {
  const auto internal = [](const HttpField& field) {
    return field.name.size() >= kPrefix.size() &&
           equalNames(std::string_view(field.name).substr(0, kPrefix.size()), kPrefix);
  };
  head.fields.erase(std::remove_if(head.fields.begin(), head.fields.end(), internal),
                    head.fields.end());
}

std::string formatLoad(const ServerLoad& load) {
  return std::to_string(load.limit) + "/" + std::to_string(load.under_way) + "/" +
         std::to_string(load.waiting) + "/" + std::to_string(load.service_time.count()) + "/" +
         std::to_string(load.failed_permille) + "/" + std::to_string(permille(load.shed));
}

std::string formatRate(const rate_load& rate) {
  return std::to_string(thousandths(rate.limit.per_second)) + "/" +
         std::to_string(thousandths(rate.demand));
}

std::optional<rate_load> parseRate(const std::string* text) {
  if (text == nullptr) {
    return std::nullopt;
  }
  char* end = nullptr;
  const std::uint64_t limit = std::strtoull(text->c_str(), &end, 10);
  if (end == text->c_str() || *end != '/') {
    return std::nullopt;
  }
  const char* const second = end + 1;
  const std::uint64_t demand = std::strtoull(second, &end, 10);
  if (end == second || *end != '\0') {
    return std::nullopt;
  }
  return rate_load{{static_cast<double>(limit) / kThousand},
                   static_cast<double>(demand) / kThousand};
}

std::optional<std::uint32_t> parseSlowdown(const std::string* text) {
  if (text == nullptr || text->empty()) {
    return std::nullopt;
  }
  const char* const end = text->data() + text->size();
  std::uint32_t percent = 0;
  const auto parsed = std::from_chars(text->data(), end, percent);
  const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                        percent >= min_reported_slowdown_percent &&
                        percent <= max_reported_slowdown_percent;
  return is_valid ? std::optional<std::uint32_t>(percent) : std::nullopt;
}

std::string formatRoot(const request_root& root) {
  return std::to_string(root.rank) + (root.repeatable ? "/1/" : "/0/") + encodeCaller(root.caller);
}

std::optional<request_root> parseRoot(const std::string* text) {
  if (text == nullptr) {
    return std::nullopt;
  }
  char* end = nullptr;
  const std::uint64_t rank = std::strtoull(text->c_str(), &end, 10);
  const std::string_view rest(end);
  const bool repeatable = rest.substr(0, 3) == "/1/";
  const bool is_valid = end != text->c_str() && rank <= std::numeric_limits<std::uint32_t>::max() &&
                        (repeatable || rest.substr(0, 3) == "/0/");
  if (!is_valid) {
    return std::nullopt;
  }
  auto caller = decodeCaller(rest.substr(3));
  if (!caller) {
    return std::nullopt;
  }
  return request_root{static_cast<std::uint32_t>(rank), repeatable, std::move(*caller)};
}

reported_excess parseExcess(const std::string* text) {
  if (text == nullptr || text->empty() ||
      std::isdigit(static_cast<unsigned char>((*text)[0])) == 0) {
    return {};
  }
  char* end = nullptr;
  const std::uint64_t permille = std::strtoull(text->c_str(), &end, 10);
  if (*end != '\0') {
    return {};
  }
  return {static_cast<std::uint32_t>(std::min(permille, kMaxExcessPermille))};
}

std::string formatOverload(const std::vector<service_overload>& levels) {
  std::string text;
  for (const service_overload& entry : levels) {
    if (entry.service.find_first_of(",=\r\n") != std::string::npos) {
      continue;
    }
    text += (text.empty() ? "" : ",") + entry.service + "=" + std::to_string(permille(entry.level));
  }
  return text;
}

std::vector<service_overload> parseOverload(const std::string* text) {
  std::vector<service_overload> levels;
  if (text == nullptr) {
    return levels;
  }
  std::istringstream entries(*text);
  for (std::string entry;
       std::getline(entries, entry, ',') && levels.size() < kMaxOverloadEntries;) {
    const std::size_t equals = entry.find('=');
    if (equals == 0 || equals == std::string::npos) {
      continue;
    }
    const std::uint64_t number = std::strtoull(entry.c_str() + equals + 1, nullptr, 10);
    levels.push_back({entry.substr(0, equals), levelOf(number)});
  }
  return levels;
}

std::optional<ServerLoad> parseLoad(const std::string* text) {
  if (text == nullptr) {
    return std::nullopt;
  }
  std::array<std::uint64_t, 6> numbers{};
  const char* position = text->c_str();
  for (std::uint64_t& number : numbers) {
    char* end = nullptr;
    number = std::strtoull(position, &end, 10);
    if (end == position) {
      return std::nullopt;
    }
    position = *end == '/' ? end + 1 : end;
  }
  ServerLoad load;
  load.limit = static_cast<std::uint32_t>(numbers[0]);
  load.under_way = static_cast<std::uint32_t>(numbers[1]);
  load.waiting = static_cast<std::uint32_t>(numbers[2]);
  load.service_time = Duration(static_cast<std::int64_t>(numbers[3]));
  load.failed_permille = static_cast<std::uint32_t>(numbers[4]);
  load.shed = levelOf(numbers[5]);
  return load;
}

std::string formatWithheldBody(const WithheldBody& form) {
  switch (form.framing) {
    case BodyFraming::kNone:
      return kNoBody;
    case BodyFraming::kLength:
      return std::to_string(form.bytes);
    case BodyFraming::kChunked:
      return std::to_string(form.bytes) + kChunkedBody;
  }
  return kNoBody;
}

std::optional<WithheldBody> parseWithheldBody(const std::string& text) {
  if (text == kNoBody) {
    return WithheldBody{};
  }
  char* end = nullptr;
  const std::uint64_t bytes = std::strtoull(text.c_str(), &end, 10);
  if (end == text.c_str()) {
    return std::nullopt;
  }
  if (*end == '\0') {
    return WithheldBody{bytes, BodyFraming::kLength};
  }
  return end == std::string(kChunkedBody)
             ? std::optional<WithheldBody>({bytes, BodyFraming::kChunked})
             : std::nullopt;
}

std::optional<Duration> parseMilliseconds(const std::string* text) {
  if (text == nullptr || text->empty()) {
    return std::nullopt;
  }
  char* end = nullptr;
  const double value = std::strtod(text->c_str(), &end);
  const bool whole = end == text->c_str() + text->size();
  if (!whole || !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return Duration(static_cast<std::int64_t>(std::min(value, kMaxMilliseconds) * 1000));
}

std::string formatMilliseconds(Duration time) {
  return std::to_string(std::max<std::int64_t>(0, time.count() / 1000));
}

}  // namespace ramppond
