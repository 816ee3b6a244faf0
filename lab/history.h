// What callers, back ends and operators saw, one JSON object a line; the only thing that promise
// checkers know of a run.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ramppond {

enum class HistoryEventType : std::uint8_t {
  kCallerSent = 0,            ///< A caller sent a front request (one attempt of its own).
  kCallerAnswered = 1,        ///< A caller got an answer, or gave up (error "timeout").
  kBackendRan = 2,            ///< A back end started to run a call.
  kBackendDraining = 3,       ///< A back end's server was told to leave.
  kBackendStopped = 4,        ///< A back end's process ended by a planned stop.
  kConfigurationInForce = 5,  ///< A daemon put a version in force.
  kPlanConfirmed = 6,         ///< An operator was told that a version is confirmed.
  kServerKilled = 7,          ///< The rig killed the server without notice.
  kAttemptSent = 8,           ///< A daemon sent an attempt of a call to another.
};

/// One observation. Fields that an event does not need stay empty.
struct HistoryEvent {
  std::int64_t time_us = 0;
  HistoryEventType type = HistoryEventType::kCallerSent;
  std::string who;           ///< Caller, server or operator.
  std::string nonce;         ///< Names the front request; callers put it into the body.
  std::string key;           ///< Idempotency key, shared by a caller's repeats.
  std::string work;          ///< Work type.
  std::string kind;          ///< Kind of work.
  std::string place;         ///< Back end: service and path.
  std::string call;          ///< Back end: position in the call tree, e.g. "0.2.1".
  std::string parent;        ///< Run that made the call; empty for a caller.
  std::string outcome;       ///< Answer: not_run, ran, unknown.
  std::string error;         ///< Answer: error kind.
  std::string detail;        ///< Answer: nonce found in the body. Configuration: version.
  std::uint64_t number = 0;  ///< Answer: status. Configuration: log index.
};

std::string historyEventName(HistoryEventType type);

/// Appends events to a file, each flushed at once, so that a kill loses none.
class HistoryFile {
 public:
  /// Records nothing if `path` is empty.
  explicit HistoryFile(const std::string& path);
  ~HistoryFile();
  HistoryFile(const HistoryFile&) = delete;
  HistoryFile& operator=(const HistoryFile&) = delete;
  void record(const HistoryEvent& event);

 private:
  std::mutex mutex_;
  int descriptor_ = -1;
};

/// Reads a file; a torn last line is left out. Nothing if it cannot be read.
std::optional<std::vector<HistoryEvent>> readHistory(const std::string& path);

}  // namespace ramppond
