// The texts that the programs show to the outside: names of settings, options, header fields,
// paths, log events and their fields, metrics, reasons and messages. Operators search for them and
// other programs read them, so each that was recorded must still stand somewhere in the programs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <set>

#include "tests/compatibility/golden.h"

namespace ramppond::compatibility {
namespace {

const std::vector<std::string> kProgramFolders = {"cli",    "common", "control",  "core",
                                                  "daemon", "net",    "platform", "storage"};
constexpr std::size_t kShortestText = 2;

/// Takes the string literals out of C++ source; adjacent ones are one text.
class LiteralScanner {
 public:
  explicit LiteralScanner(const std::string& source) : source_(source) {}

  std::set<std::string> scan() {
    while (this->at_ < this->source_.size()) {
      step();
    }
    close();
    return this->texts_;
  }

 private:
  [[nodiscard]] bool startsWith(const std::string& text) const {
    return this->source_.compare(this->at_, text.size(), text) == 0;
  }
  void skipPast(const std::string& end) {
    const std::size_t found = this->source_.find(end, this->at_);
    this->at_ = found == std::string::npos ? this->source_.size() : found + end.size();
  }
  void step() {
    const char letter = this->source_[this->at_];
    if (startsWith("//") || startsWith("#include")) {
      skipPast("\n");
    } else if (startsWith("/*")) {
      skipPast("*/");
    } else if (startsWith("R\"(")) {
      const std::size_t begin = this->at_ + 3;
      skipPast(")\"");
      append(onOneLine(this->source_.substr(begin, this->at_ - 2 - begin)));
    } else if (letter == '"') {
      append(quoted('"'));
    } else if (letter == '\'' && !isDigitSeparator()) {
      quoted('\'');
      close();
    } else {
      if (std::isspace(static_cast<unsigned char>(letter)) == 0) {
        close();
      }
      this->at_ += 1;
    }
  }
  static std::string onOneLine(const std::string& text) {
    std::string line;
    for (const char letter : text) {
      line += letter == '\n' ? std::string("\\n") : std::string(1, letter);
    }
    return line;
  }
  [[nodiscard]] bool isDigitSeparator() const {
    return this->at_ > 0 &&
           std::isalnum(static_cast<unsigned char>(this->source_[this->at_ - 1])) != 0;
  }
  std::string quoted(char mark) {
    std::string text;
    for (this->at_ += 1; this->at_ < this->source_.size(); ++this->at_) {
      const char letter = this->source_[this->at_];
      if (letter == mark) {
        break;
      }
      text += letter;
      if (letter == '\\') {
        this->at_ += 1;
        text += this->source_[this->at_];
      }
    }
    this->at_ += 1;
    return text;
  }
  void append(const std::string& text) {
    this->open_ = true;
    this->text_ += text;
  }
  void close() {
    const bool has_letter = std::any_of(this->text_.begin(), this->text_.end(), [](char letter) {
      return std::isalpha(static_cast<unsigned char>(letter)) != 0;
    });
    if (this->open_ && has_letter && this->text_.size() >= kShortestText) {
      this->texts_.insert(this->text_);
    }
    this->text_.clear();
    this->open_ = false;
  }

  const std::string& source_;
  std::size_t at_ = 0;
  bool open_ = false;
  std::string text_;
  std::set<std::string> texts_;
};

std::set<std::string> textsOfThePrograms() {
  std::set<std::string> texts;
  for (const std::string& folder : kProgramFolders) {
    const std::string root = std::string(RAMPPOND_SOURCE_FOLDER) + "/" + folder;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root)) {
      const std::string extension = entry.path().extension().string();
      if (extension != ".cc" && extension != ".h") {
        continue;
      }
      const std::string source = readFile(entry.path().string());
      const auto found = LiteralScanner(source).scan();
      texts.insert(found.begin(), found.end());
    }
  }
  return texts;
}

TEST(Literals, TheScannerReadsSourceAsACompilerDoes) {
  const std::string source =
      "#include \"a.h\"\n// \"no\"\nf(\"one\"\n  \" two\", 'x', \"q\\\"uote\", 10'000, "
      "R\"(raw)\");";
  const std::set<std::string> expected = {"one two", "q\\\"uote", "raw"};
  EXPECT_EQ(LiteralScanner(source).scan(), expected);
}

TEST(Literals, EveryTextThatWasRecordedStillStandsInThePrograms) {
  const auto texts = textsOfThePrograms();
  if (recording()) {
    std::string contents;
    for (const std::string& text : texts) {
      contents += text + "\n";
    }
    writeFile(goldenPath("literals.txt"), contents);
    return;
  }
  std::istringstream lines(readFile(goldenPath("literals.txt")));
  std::string line;
  std::size_t recorded = 0;
  while (std::getline(lines, line)) {
    recorded += 1;
    EXPECT_TRUE(texts.count(line) == 1) << line;
  }
  EXPECT_GT(recorded, 0U);
}

}  // namespace
}  // namespace ramppond::compatibility
