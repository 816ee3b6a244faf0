// Decides which replacement of the traffic configuration takes effect.
//
// Input: committed replacements in the order of the log. Output: taken, or the reason why not. Owns
// the configuration in force, the operator's document and the identities of replacements taken
// before. Deterministic part of ControlState. Pure, not thread safe.
//
// A replacement names the version that it builds on, so of two on one base exactly one is taken. A
// replacement that is sent again gets the first answer, also after later replacements.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "core/errors.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// An operator asks to put a whole configuration in force.
struct TrafficReplacement {
  std::uint64_t base_number = 0;
  TrafficConfiguration configuration;
  std::string document;  ///< The operator's own text, returned on reads.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, base_number);
    visitor(2, configuration);
    visitor(3, document);
  }
};

/// Identifies a replacement that was taken.
struct TakenReplacement {
  std::uint64_t number = 0;
  std::uint64_t base_number = 0;
  std::uint64_t checksum = 0;  ///< XXH3-64 of the document.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, number);
    visitor(2, base_number);
    visitor(3, checksum);
  }
};

/// All of TrafficState, as a snapshot holds it.
struct TrafficSnapshot {
  std::uint64_t log_index = 0;
  TrafficConfiguration configuration;
  std::string document;
  std::vector<TakenReplacement> taken;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, log_index);
    visitor(2, configuration);
    visitor(3, document);
    visitor(4, taken);
  }
};

struct TrafficResult {
  ErrorKind error = ErrorKind::kNone;
  std::string reason;
};

/// Replacements that are recognised when they are sent again: several days of ordinary changes.
constexpr std::size_t kRememberedReplacements = 4096;

class TrafficState {
 public:
  /// Applies one committed replacement that lies at `log_index`.
  TrafficResult apply(const TrafficReplacement& replacement, std::uint64_t log_index);

  /// Place in the log of the configuration in force; 0 before the first. Orders all versions.
  [[nodiscard]] std::uint64_t logIndex() const { return log_index_; }
  [[nodiscard]] const TrafficConfiguration& configuration() const { return configuration_; }
  [[nodiscard]] const std::string& document() const { return document_; }

  [[nodiscard]] TrafficSnapshot snapshot() const;
  void restore(const TrafficSnapshot& snapshot);

 private:
  [[nodiscard]] bool wasTaken(const TakenReplacement& wanted) const;

  std::uint64_t log_index_ = 0;
  TrafficConfiguration configuration_;
  std::string document_;
  std::deque<TakenReplacement> taken_;
};

}  // namespace ramppond
