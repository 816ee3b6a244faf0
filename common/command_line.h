// Command lines by getopt_long, the same way in every program.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace ramppond {

/// Exit codes of all programs.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,      ///< It ran and the answer is no: refused, broken promise, not reached.
  kUsage = 2,        ///< Bad command line or settings; nothing was started or changed.
  kConflict = 3,     ///< The version changed meanwhile; plan again.
  kUnavailable = 4,  ///< No control member with a leader answered.
};

inline int exitStatus(ExitCode code) {
  return static_cast<int>(code);
}

struct CommandLineOption {
  std::string name;      ///< Without the dashes.
  std::string argument;  ///< Name of its argument for the help; empty for a flag.
  std::string help;
};

struct CommandLineSpec {
  std::string program;
  std::string synopsis;
  std::string description;                 ///< Printed by --help below the synopsis.
  std::vector<CommandLineOption> options;  ///< --help and --version are added.
};

/// A parsed command line.
class CommandLine {
 public:
  /// Parses. Prints help, version or an error itself; then exitCode() says how to end.
  CommandLine(const CommandLineSpec& spec, int argc, char** argv);

  [[nodiscard]] const std::optional<ExitCode>& exitCode() const { return exit_code_; }
  [[nodiscard]] bool has(const std::string& name) const;
  /// The last value given, or `fallback`.
  [[nodiscard]] std::string value(const std::string& name, const std::string& fallback = "") const;
  [[nodiscard]] std::vector<std::string> values(const std::string& name) const;
  [[nodiscard]] const std::vector<std::string>& operands() const { return operands_; }

 private:
  struct Given {
    std::string name;
    std::string value;
  };
  std::vector<Given> given_;
  std::vector<std::string> operands_;
  std::optional<ExitCode> exit_code_;
};

/// Splits "a,b,c"; empty parts are dropped.
std::vector<std::string> splitList(const std::string& text, char separator = ',');
/// "a,b,c" of its parts.
std::string joinList(const std::vector<std::string>& parts);
/// A whole decimal number, or nothing.
std::optional<std::uint64_t> parseUnsigned(const std::string& text);

}  // namespace ramppond
