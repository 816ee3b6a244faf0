// The configuration that operators confirm: priority classes, kinds of work and their order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ramppond {

/// The fixed order of shedding; a lower value is shed later. No intent can invert it.
enum class WorkKind : std::uint8_t {
  kCommitOnce = 0,  ///< May not be repeated: runs at most once.
  kLookup = 1,      ///< Read only; may be repeated.
  kBulk = 2,        ///< Exports and bulk downloads; shed first.
};

std::string workKindName(WorkKind kind);
std::optional<WorkKind> parseWorkKind(const std::string& name);

/// A class that callers pay for. Under shortage a class's share of what is admitted within a
/// kind of work is proportional to its weight.
struct PriorityClass {
  std::string name;
  std::uint32_t weight = 1;              ///< 1 to kMaximumClassWeight.
  std::vector<std::string> caller_keys;  ///< Keys by which callers prove the class.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, weight);
    visitor(3, caller_keys);
  }
};

/// A named group of front requests, e.g. "lodgements": a service and a path prefix on it.
struct WorkType {
  std::string name;
  std::string service;
  std::string path_prefix;
  WorkKind kind = WorkKind::kLookup;
  std::uint32_t rank = 0;  ///< Order within the kind, 0 (shed last) to kMaximumWorkRank.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, service);
    visitor(3, path_prefix);
    visitor(4, kind);
    visitor(5, rank);
  }
};

/// Position of a configuration in the replicated log; (term, index) orders all versions.
struct ConfigurationVersion {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, term);
    visitor(2, index);
  }
  bool operator==(const ConfigurationVersion& other) const {
    return term == other.term && index == other.index;
  }
  bool operator!=(const ConfigurationVersion& other) const { return !(*this == other); }
  bool operator<(const ConfigurationVersion& other) const {
    return index != other.index ? index < other.index : term < other.term;
  }
  [[nodiscard]] std::string toString() const {
    return std::to_string(term) + "." + std::to_string(index);
  }
};

constexpr std::uint32_t kMaximumClassWeight = 64;
constexpr std::uint32_t kMaximumWorkRank = 15;
constexpr std::uint32_t kDefaultRetryAllowance = 3;

/// A confirmed statement "`higher` outranks `lower`" about two work types of one kind.
struct Intent {
  std::string higher;
  std::string lower;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, higher);
    visitor(2, lower);
  }
  bool operator==(const Intent& other) const {
    return higher == other.higher && lower == other.lower;
  }
  [[nodiscard]] std::string toString() const { return higher + " outrank " + lower; }
};

/// Everything that operators decide and every daemon holds.
struct Configuration {
  std::uint64_t group_id = 0;  ///< The control group that issued it; 0 before the first.
  ConfigurationVersion version;
  std::uint32_t retry_allowance = kDefaultRetryAllowance;  ///< Retries per front request.
  std::vector<PriorityClass> classes;
  std::vector<WorkType> work_types;
  std::vector<Intent> intents;                ///< In their order of confirmation.
  std::vector<std::string> draining_servers;  ///< Servers an operator takes out of use.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, group_id);
    visitor(2, version);
    visitor(3, retry_allowance);
    visitor(4, classes);
    visitor(5, work_types);
    visitor(6, intents);
    visitor(7, draining_servers);
  }

  /// The class a caller key pays for, or nullptr.
  [[nodiscard]] const PriorityClass* classOfKey(const std::string& caller_key) const;
  /// The work type with the longest matching path prefix on `service`, or nullptr.
  [[nodiscard]] const WorkType* workTypeOf(const std::string& service,
                                           const std::string& path) const;
  [[nodiscard]] const WorkType* findWorkType(const std::string& name) const;
  /// Work type names from the first shed to the last.
  [[nodiscard]] std::vector<std::string> shedOrder() const;
};

/// Holds the version in force on one process and refuses any older one, and any from another
/// control group once one is held.
class ConfigurationHolder {
 public:
  /// `refuse_older` is false only in a variant that proves the scenarios.
  explicit ConfigurationHolder(bool refuse_older = true) : refuse_older_(refuse_older) {}
  /// Takes `candidate` if it is newer than what is held. Returns whether it was taken.
  bool offer(const Configuration& candidate);
  [[nodiscard]] bool hasAny() const { return current_.group_id != 0; }
  [[nodiscard]] const Configuration& current() const { return current_; }

 private:
  bool refuse_older_;
  Configuration current_;
};

}  // namespace ramppond
