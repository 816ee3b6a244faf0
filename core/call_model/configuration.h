// The configuration that operators confirm: priority classes, work types and their shedding order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ramppond {

/// Kinds of work in their fixed shedding order: a lower value is shed later. Intents cannot change
/// this order.
enum class WorkKind : std::uint8_t {
  kCommitOnce = 0,  ///< Must not be repeated: runs at most once.
  kLookup = 1,      ///< Read only; may be repeated.
  kBulk = 2,        ///< Exports and bulk downloads; shed first.
};

std::string workKindName(WorkKind kind);
std::optional<WorkKind> parseWorkKind(const std::string& name);

/// A class that callers pay for. Under overload, the share of a class in the admitted work of one
/// kind is proportional to its weight.
struct PriorityClass {
  std::string name;
  std::uint32_t weight = 1;              ///< 1 to kMaximumClassWeight.
  std::vector<std::string> caller_keys;  ///< Keys that identify the callers of this class.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, weight);
    visitor(3, caller_keys);
  }
};

/// A named group of front requests, e.g. "lodgements", given by a service and a path prefix.
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

/// Position of a configuration in the replicated log. Versions are ordered by index, then by term.
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

/// A confirmed rule that work type `higher` outranks work type `lower`, so that it is shed later.
/// It sets ranks within one kind; across kinds it may only agree with the fixed order.
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

/// All settings that operators decide on. Every daemon holds a copy.
struct Configuration {
  std::uint64_t group_id = 0;  ///< Control group that issued it; 0 if there is none yet.
  ConfigurationVersion version;
  std::uint32_t retry_allowance = kDefaultRetryAllowance;  ///< Retries per front request.
  std::vector<PriorityClass> classes;
  std::vector<WorkType> work_types;
  std::vector<Intent> intents;                ///< In order of confirmation.
  std::vector<std::string> draining_servers;  ///< Servers that an operator drains.

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

  /// The class that `caller_key` belongs to, or nullptr.
  [[nodiscard]] const PriorityClass* classOfKey(const std::string& caller_key) const;
  /// The work type of `service` with the longest path prefix that matches `path`, or nullptr.
  [[nodiscard]] const WorkType* workTypeOf(const std::string& service,
                                           const std::string& path) const;
  [[nodiscard]] const WorkType* findWorkType(const std::string& name) const;
  /// Names of the work types, from the first to be shed to the last.
  [[nodiscard]] std::vector<std::string> shedOrder() const;
};

/// Holds the configuration that is in force in this process. Refuses configurations that are not
/// newer, and those of any control group other than the one of the first configuration taken.
class ConfigurationHolder {
 public:
  /// `refuse_older` is false only in a deliberately faulty variant, which shows that the test
  /// scenarios detect the fault.
  explicit ConfigurationHolder(bool refuse_older = true) : refuse_older_(refuse_older) {}
  /// Takes `candidate` if it is newer than the current configuration. Returns whether it was taken.
  bool offer(const Configuration& candidate);
  [[nodiscard]] bool hasAny() const { return current_.group_id != 0; }
  [[nodiscard]] const Configuration& current() const { return current_; }

 private:
  bool refuse_older_;
  Configuration current_;
};

}  // namespace ramppond
