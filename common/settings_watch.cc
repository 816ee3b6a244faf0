#include "common/settings_watch.h"

#include <fstream>
#include <random>
#include <sstream>

namespace ramppond {
namespace {

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

SettingsWatch::SettingsWatch(std::string path) : path_(std::move(path)), text_(readFile(path_)) {}

bool SettingsWatch::changed() {
  std::string text = readFile(path_);
  if (text == text_) {
    return false;
  }
  text_ = std::move(text);
  return true;
}

std::uint64_t randomNumber64() {
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return ((std::uint64_t{device()} << kHalf) | device()) | 1U;
}

}  // namespace ramppond
