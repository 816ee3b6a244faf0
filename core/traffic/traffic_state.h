// The replicated state of the traffic configuration: decides which replacements take effect.
//
// Input: committed replacements in log order. Output: success, or the reason for a refusal. Owns
// the configuration in force, the operator's document and the identities of earlier replacements. A
// deterministic part of ControlState. No I/O; not thread safe.
//
// A replacement names the version that it is based on, so only one of two replacements with the
// same base takes effect. Replacements are idempotent: a repeated one gets the first answer, also
// after later replacements.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "core/errors.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// An operator's request to put a complete configuration in force.
struct TrafficReplacement {
  std::uint64_t base_number = 0;
  TrafficConfiguration configuration;
  std::string document;  ///< The operator's document, returned unchanged on reads.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, base_number);
    visitor(2, configuration);
    visitor(3, document);
  }
};

/// Identifies a replacement that took effect.
struct AppliedReplacement {
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

/// The complete TrafficState in a snapshot.
struct TrafficSnapshot {
  std::uint64_t log_index = 0;
  TrafficConfiguration configuration;
  std::string document;
  std::vector<AppliedReplacement> applied;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, log_index);
    visitor(2, configuration);
    visitor(3, document);
    visitor(4, applied);
  }
};

struct TrafficResult {
  ErrorKind error = ErrorKind::kNone;
  std::string reason;
};

/// Number of replacements that are recognised when repeated: several days of ordinary changes.
constexpr std::size_t kMaxRememberedReplacements = 4096;

class TrafficState {
 public:
  /// Applies the committed replacement at `log_index`.
  TrafficResult apply(const TrafficReplacement& replacement, std::uint64_t log_index);

  /// Log index of the configuration in force; 0 before the first. Orders all versions.
  [[nodiscard]] std::uint64_t logIndex() const { return log_index_; }
  [[nodiscard]] const TrafficConfiguration& configuration() const { return configuration_; }
  [[nodiscard]] const std::string& document() const { return document_; }

  [[nodiscard]] TrafficSnapshot snapshot() const;
  void restore(const TrafficSnapshot& snapshot);

 private:
  [[nodiscard]] bool wasApplied(const AppliedReplacement& requested) const;

  std::uint64_t log_index_ = 0;
  TrafficConfiguration configuration_;
  std::string document_;
  std::deque<AppliedReplacement> applied_;
};

}  // namespace ramppond
