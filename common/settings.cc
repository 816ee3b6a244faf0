#include "common/settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace ramppond {
namespace {

std::string placed(const std::string& path, const toml::source_region& region,
                   const std::string& text) {
  std::ostringstream message;
  message << path << ':' << std::max<std::uint32_t>(1, region.begin.line) << ':'
          << std::max<std::uint32_t>(1, region.begin.column) << ": " << text;
  return message.str();
}

std::string rangeText(IntegerRange range) {
  return "expected an integer from " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

}  // namespace

void SettingsErrors::report(const std::string& message) {
  if (!first_) {
    first_ = message;
  }
}

struct SettingsFile::Document {
  std::string path;
  toml::table root;
  SettingsErrors errors;
};

class SettingsTable::Impl {
 public:
  Impl(const std::string& path, const toml::table* table, SettingsErrors& errors)
      : path_(path), table_(table), errors_(errors) {}

  const toml::node* use(const std::string& key) {
    used_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }
  const toml::node* require(const std::string& key, const std::string& expected) {
    const toml::node* node = use(key);
    if (node == nullptr) {
      const toml::source_region region =
          table_ == nullptr ? toml::source_region{} : table_->source();
      errors_.report(placed(path_, region, key + ": " + expected + ", but the key is missing"));
    }
    return node;
  }
  void reject(const toml::node* node, const std::string& key, const std::string& expected) {
    const toml::source_region region = node == nullptr ? toml::source_region{} : node->source();
    errors_.report(placed(path_, region, key + ": " + expected));
  }
  void rejectUnused() {
    if (table_ == nullptr) {
      return;
    }
    for (const auto& [key, node] : *table_) {
      const std::string name(key.str());
      if (used_.count(name) == 0) {
        errors_.report(placed(path_, key.source(), name + ": expected no key of this name"));
      }
    }
  }
  [[nodiscard]] bool has(const std::string& key) const {
    return table_ != nullptr && table_->contains(key);
  }
  std::string stringOf(const toml::node* node, const std::string& key,
                       const std::string& fallback) {
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      reject(node, key, "expected a non-empty string");
      return fallback;
    }
    return *value;
  }
  std::int64_t integerOf(const toml::node* node, const std::string& key, std::int64_t fallback,
                         IntegerRange range) {
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < range.minimum || *value > range.maximum) {
      reject(node, key, rangeText(range));
      return fallback;
    }
    return *value;
  }

  const std::string& path_;
  const toml::table* table_;
  SettingsErrors& errors_;

 private:
  std::set<std::string> used_;
};

SettingsTable::SettingsTable(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
SettingsTable::SettingsTable(SettingsTable&&) noexcept = default;
SettingsTable& SettingsTable::operator=(SettingsTable&&) noexcept = default;
SettingsTable::~SettingsTable() = default;

std::string SettingsTable::requiredString(const std::string& key) {
  return impl_->stringOf(impl_->require(key, "expected a non-empty string"), key, "");
}

std::string SettingsTable::optionalString(const std::string& key, const std::string& fallback) {
  return impl_->stringOf(impl_->use(key), key, fallback);
}

std::string SettingsTable::choice(const std::string& key, const std::vector<std::string>& choices) {
  const toml::node* node = impl_->use(key);
  std::string value = impl_->stringOf(node, key, choices.front());
  if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
    return value;
  }
  std::string expected = "expected one of";
  for (const std::string& candidate : choices) {
    expected += " \"" + candidate + "\"";
  }
  impl_->reject(node, key, expected);
  return choices.front();
}

std::int64_t SettingsTable::requiredInteger(const std::string& key, IntegerRange range) {
  return impl_->integerOf(impl_->require(key, rangeText(range)), key, range.minimum, range);
}

std::int64_t SettingsTable::optionalInteger(const std::string& key, std::int64_t fallback,
                                            IntegerRange range) {
  return impl_->integerOf(impl_->use(key), key, fallback, range);
}

double SettingsTable::optionalNumber(const std::string& key, double fallback, NumberRange range) {
  const toml::node* node = impl_->use(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value<double>();
  if (!node->is_number() || !value || *value < range.minimum || *value > range.maximum) {
    std::ostringstream expected;
    expected << "expected a number from " << range.minimum << " to " << range.maximum;
    impl_->reject(node, key, expected.str());
    return fallback;
  }
  return *value;
}

bool SettingsTable::optionalBool(const std::string& key, bool fallback) {
  const toml::node* node = impl_->use(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    impl_->reject(node, key, "expected true or false");
  }
  return value.value_or(fallback);
}

std::vector<std::string> SettingsTable::strings(const std::string& key) {
  const toml::node* node = impl_->use(key);
  std::vector<std::string> values;
  if (node == nullptr) {
    return values;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    impl_->reject(node, key, "expected an array of strings");
    return values;
  }
  for (const toml::node& element : *array) {
    values.push_back(impl_->stringOf(&element, key, ""));
  }
  return values;
}

std::vector<SettingsTable> SettingsTable::tables(const std::string& key) {
  const toml::node* node = impl_->use(key);
  std::vector<SettingsTable> result;
  if (node == nullptr) {
    return result;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
    impl_->reject(node, key, "expected an array of tables [[" + key + "]]");
    return result;
  }
  for (const toml::node& element : *array) {
    result.emplace_back(std::make_unique<Impl>(impl_->path_, element.as_table(), impl_->errors_));
  }
  return result;
}

SettingsTable SettingsTable::table(const std::string& key) {
  const toml::node* node = impl_->use(key);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr && table == nullptr) {
    impl_->reject(node, key, "expected a table [" + key + "]");
  }
  return SettingsTable(std::make_unique<Impl>(impl_->path_, table, impl_->errors_));
}

bool SettingsTable::has(const std::string& key) const {
  return impl_->has(key);
}

void SettingsTable::reject(const std::string& key, const std::string& expected) {
  impl_->reject(impl_->use(key), key, expected);
}

void SettingsTable::finish() {
  impl_->rejectUnused();
}

SettingsFile::SettingsFile(const std::string& path) : document_(std::make_unique<Document>()) {
  document_->path = path;
  try {
    document_->root = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    document_->errors.report(placed(
        path, error.source(), "file: expected valid TOML: " + std::string(error.description())));
  }
}

SettingsFile::~SettingsFile() = default;

SettingsTable SettingsFile::root() {
  return SettingsTable(
      std::make_unique<SettingsTable::Impl>(document_->path, &document_->root, document_->errors));
}

const std::optional<std::string>& SettingsFile::error() const {
  return document_->errors.first();
}

std::optional<Endpoint> parseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) {
    return std::nullopt;
  }
  constexpr std::uint32_t kLargestPort = 65535;
  std::uint32_t port = 0;
  for (const char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9' || port > kLargestPort) {
      return std::nullopt;
    }
    port = port * 10 + static_cast<std::uint32_t>(digit - '0');
  }
  if (port > kLargestPort) {
    return std::nullopt;
  }
  endpoint.port = static_cast<std::uint16_t>(port);
  return endpoint;
}

Endpoint endpointSetting(SettingsTable& table, const std::string& key,
                         const std::string& fallback) {
  const bool missing = !table.has(key);
  const std::string text = missing && !fallback.empty() ? table.optionalString(key, fallback)
                                                        : table.requiredString(key);
  const auto endpoint = parseEndpoint(text);
  if (!endpoint && !missing) {
    table.reject(key, "expected IPv4:PORT");
  }
  return endpoint.value_or(Endpoint{});
}

void requireEndpoints(SettingsTable& table, const std::string& key,
                      const std::vector<std::string>& values) {
  for (const std::string& value : values) {
    if (!parseEndpoint(value)) {
      table.reject(key, "expected HOST:PORT with a numeric IPv4 host, found '" + value + "'");
    }
  }
}

std::vector<std::string> addressesAtPort(const std::vector<std::string>& endpoints,
                                         std::uint16_t port) {
  std::vector<std::string> addresses;
  for (const std::string& text : endpoints) {
    if (const auto endpoint = parseEndpoint(text)) {
      addresses.push_back(Endpoint{endpoint->host, port}.toString());
    }
  }
  return addresses;
}

}  // namespace ramppond
