#include "common/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <sstream>

namespace ramppond {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr int kFirstOptionCode = 256;
constexpr std::size_t kHelpColumn = 28;

void printHelp(const CommandLineSpec& spec) {
  std::cout << "usage: " << spec.program << ' ' << spec.synopsis << "\n\n"
            << spec.description << "\n\noptions:\n";
  for (const CommandLineOption& option : spec.options) {
    std::string left = "  --" + option.name;
    left += option.argument.empty() ? "" : " " + option.argument;
    left.resize(std::max(left.size() + 1, kHelpColumn), ' ');
    std::cout << left << option.help << '\n';
  }
}

}  // namespace

CommandLine::CommandLine(const CommandLineSpec& spec, int argc, char** argv) {
  CommandLineSpec full = spec;
  full.options.push_back({"help", "", "print this help and exit"});
  full.options.push_back({"version", "", "print the version and exit"});
  std::vector<option> table;
  int code = kFirstOptionCode;
  for (const CommandLineOption& option : full.options) {
    const int has_argument = option.argument.empty() ? no_argument : required_argument;
    table.push_back({option.name.c_str(), has_argument, nullptr, code++});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  optind = 1;
  for (;;) {
    const int found = getopt_long(argc, argv, "", table.data(), nullptr);
    if (found == -1) {
      break;
    }
    if (found < kFirstOptionCode) {
      std::cerr << "try '" << spec.program << " --help'\n";
      exit_code_ = ExitCode::kUsage;
      return;
    }
    const auto index = static_cast<std::size_t>(found - kFirstOptionCode);
    given_.push_back({full.options[index].name, optarg == nullptr ? "" : optarg});
  }
  operands_.assign(argv + optind, argv + argc);
  if (has("help")) {
    printHelp(full);
    exit_code_ = ExitCode::kSuccess;
  } else if (has("version")) {
    std::cout << spec.program << ' ' << kVersion << '\n';
    exit_code_ = ExitCode::kSuccess;
  }
}

bool CommandLine::has(const std::string& name) const {
  return std::any_of(given_.begin(), given_.end(),
                     [&](const Given& given) { return given.name == name; });
}

std::string CommandLine::value(const std::string& name, const std::string& fallback) const {
  const std::vector<std::string> all = values(name);
  return all.empty() ? fallback : all.back();
}

std::vector<std::string> CommandLine::values(const std::string& name) const {
  std::vector<std::string> found;
  for (const Given& given : given_) {
    if (given.name == name) {
      found.push_back(given.value);
    }
  }
  return found;
}

std::vector<std::string> splitList(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string joinList(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

std::optional<std::uint64_t> parseUnsigned(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace ramppond
