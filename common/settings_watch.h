// Notices that a settings file has changed, with or without a signal.
#pragma once

#include <cstdint>
#include <string>

namespace ramppond {

class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);
  /// Whether the file's text differs from what the last call, or the constructor, found.
  bool changed();
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
  std::string text_;
};

/// A number from the system's random device; never 0.
std::uint64_t randomNumber64();

}  // namespace ramppond
