// Strict reading of TOML settings files.
//
// Every getter names one key that the file may hold. A wrong type, a value out of range, a missing
// key or a key that nobody asked for is an error `FILE:LINE:COLUMN: KEY: what was expected`; the
// first one is kept and later getters return defaults.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ramppond {

/// Collects the first error of one file; shared by all tables read from it.
class SettingsErrors {
 public:
  void report(const std::string& message);
  [[nodiscard]] const std::optional<std::string>& first() const { return first_; }

 private:
  std::optional<std::string> first_;
};

struct IntegerRange {
  std::int64_t minimum;
  std::int64_t maximum;
};

struct NumberRange {
  double minimum;
  double maximum;
};

/// One table of a settings file.
class SettingsTable {
 public:
  class Impl;
  explicit SettingsTable(std::unique_ptr<Impl> impl);
  SettingsTable(SettingsTable&&) noexcept;
  SettingsTable& operator=(SettingsTable&&) noexcept;
  ~SettingsTable();

  std::string requiredString(const std::string& key);
  std::string optionalString(const std::string& key, const std::string& fallback);
  /// One of `choices`; the first is the default.
  std::string choice(const std::string& key, const std::vector<std::string>& choices);
  std::int64_t requiredInteger(const std::string& key, IntegerRange range);
  std::int64_t optionalInteger(const std::string& key, std::int64_t fallback, IntegerRange range);
  double optionalNumber(const std::string& key, double fallback, NumberRange range);
  bool optionalBool(const std::string& key, bool fallback);
  std::vector<std::string> strings(const std::string& key);
  /// Tables of an array `[[key]]`, in order.
  std::vector<SettingsTable> tables(const std::string& key);
  /// The table `[key]`; an empty one if the file has none.
  SettingsTable table(const std::string& key);
  [[nodiscard]] bool has(const std::string& key) const;
  /// Reports an error at `key`.
  void reject(const std::string& key, const std::string& expected);
  /// Reports the first key that no getter asked for.
  void finish();

 private:
  std::unique_ptr<Impl> impl_;
};

/// A parsed settings file.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& path);
  ~SettingsFile();
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  SettingsTable root();
  /// The first error of the file, if any.
  [[nodiscard]] const std::optional<std::string>& error() const;

 private:
  struct Document;
  std::unique_ptr<Document> document_;
};

/// HOST:PORT with a numeric IPv4 host.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  [[nodiscard]] std::string toString() const { return host + ":" + std::to_string(port); }
};

/// Parses "127.0.0.1:8080". Nothing if it has another form.
std::optional<Endpoint> parseEndpoint(const std::string& text);

/// Reads a key that holds an address; an empty fallback makes it a required one.
Endpoint endpointSetting(SettingsTable& table, const std::string& key, const std::string& fallback);

/// Rejects `key` for each of its `values` that is no address.
void requireEndpoints(SettingsTable& table, const std::string& key,
                      const std::vector<std::string>& values);

/// The hosts of `endpoints` at another port; what is no address is left out.
std::vector<std::string> addressesAtPort(const std::vector<std::string>& endpoints,
                                         std::uint16_t port);

/// Reads the file `path` by `read(root)`, which asks for every key and gives the settings. On an
/// error, a key that nobody asked for among them, gives nothing and sets `error`.
template <class Read>
auto readSettingsFile(const std::string& path, std::string& error, Read read)
    -> std::optional<decltype(read(std::declval<SettingsTable&>()))> {
  SettingsFile file(path);
  SettingsTable root = file.root();
  auto settings = read(root);
  root.finish();
  if (file.error()) {
    error = *file.error();
    return std::nullopt;
  }
  return settings;
}

}  // namespace ramppond
