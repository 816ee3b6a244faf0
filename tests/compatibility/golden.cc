#include "tests/compatibility/golden.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace ramppond::compatibility {

bool recording() {
  return std::getenv("RAMPPOND_RECORD_GOLDEN") != nullptr;
}

std::string goldenPath(const std::string& name) {
  return std::string(RAMPPOND_SOURCE_FOLDER) + "/tests/compatibility/golden/" + name;
}

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file.good()) << path;
  std::stringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

void writeFile(const std::string& path, const std::string& contents) {
  std::ofstream(path, std::ios::binary) << contents;
}

std::string toHex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string digits;
  for (const char letter : bytes) {
    const auto byte = static_cast<unsigned char>(letter);
    digits += kDigits[byte >> 4U];
    digits += kDigits[byte & 0xFU];
  }
  return digits;
}

std::string fromHex(const std::string& digits) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < digits.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

std::map<std::string, std::string> readGolden(const std::string& file) {
  std::map<std::string, std::string> texts;
  std::istringstream lines(readFile(goldenPath(file)));
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.find(' ');
    texts[line.substr(0, space)] = space == std::string::npos ? "" : line.substr(space + 1);
  }
  return texts;
}

void expectGolden(const std::string& file, const std::map<std::string, std::string>& actual) {
  if (recording()) {
    std::string contents;
    for (const auto& [name, text] : actual) {
      contents += name + " " + text + "\n";
    }
    writeFile(goldenPath(file), contents);
    return;
  }
  const auto recorded = readGolden(file);
  EXPECT_EQ(recorded.size(), actual.size()) << file;
  for (const auto& [name, text] : recorded) {
    const auto found = actual.find(name);
    ASSERT_TRUE(found != actual.end()) << file << ": " << name << " is gone";
    EXPECT_EQ(found->second, text) << file << ": " << name;
  }
}

}  // namespace ramppond::compatibility
