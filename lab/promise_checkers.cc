#include "lab/promise_checkers.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace ramppond {
namespace {

constexpr char kFrontCall[] = "0";
constexpr std::int64_t kNever = INT64_MAX;

bool isRun(const HistoryEvent& event) {
  return event.type == HistoryEventType::kBackendRan;
}

bool isFrontRun(const HistoryEvent& event) {
  return isRun(event) && event.call == kFrontCall;
}

/// One attempt of a caller and its answer.
struct CallerAttempt {
  std::int64_t sent = 0;
  std::int64_t answered = kNever;
  std::string outcome = "unknown";
};

std::map<std::string, std::vector<CallerAttempt>> attemptsByNonce(const History& history) {
  std::map<std::string, std::vector<CallerAttempt>> attempts;
  for (const HistoryEvent& event : history) {
    if (event.type == HistoryEventType::kCallerSent) {
      attempts[event.nonce].push_back({event.time_us, kNever, "unknown"});
    } else if (event.type == HistoryEventType::kCallerAnswered) {
      auto& own = attempts[event.nonce];
      // A caller sends again only after an answer, so the answer is that of the last attempt.
      if (!own.empty()) {
        own.back().answered = event.time_us;
        own.back().outcome = event.outcome;
      }
    }
  }
  return attempts;
}

}  // namespace

Violations checkResponseOwnership(const History& history) {
  Violations violations;
  for (const HistoryEvent& event : history) {
    const bool good = event.type == HistoryEventType::kCallerAnswered && event.number == 200;
    if (good && event.detail != event.nonce) {
      violations.push_back(
          {"response-ownership", event.time_us, event.nonce,
           "the answer holds " + (event.detail.empty() ? "nothing" : event.detail)});
    }
  }
  return violations;
}

Violations checkNotRunTruth(const History& history) {
  Violations violations;
  const auto attempts = attemptsByNonce(history);
  for (const HistoryEvent& event : history) {
    if (!isFrontRun(event)) {
      continue;
    }
    const auto found = attempts.find(event.nonce);
    if (found == attempts.end()) {
      continue;
    }
    // The run belongs to one of the attempts sent before it. If all of those were answered
    // "not run", that was untrue.
    bool explained = false;
    bool any = false;
    for (const CallerAttempt& attempt : found->second) {
      if (attempt.sent <= event.time_us) {
        any = true;
        explained = explained || attempt.outcome != "not_run";
      }
    }
    if (any && !explained) {
      violations.push_back({"not-run-truth", event.time_us, event.nonce,
                            "ran on " + event.who + " though the caller was told not_run"});
    }
  }
  return violations;
}

Violations checkAtMostOnce(const History& history) {
  Violations violations;
  std::map<std::string, std::string> first_run;
  for (const HistoryEvent& event : history) {
    if (!isFrontRun(event) || event.key.empty()) {
      continue;
    }
    const auto [position, first] = first_run.emplace(event.key, event.who);
    if (!first) {
      violations.push_back(
          {"at-most-once", event.time_us, event.nonce,
           "key " + event.key + " ran on " + position->second + " and again on " + event.who});
    }
  }
  return violations;
}

Violations checkRetryAllowance(const History& history, std::uint32_t allowance) {
  // Attempts of one call by one run of its caller: all but the first are retries.
  struct Tree {
    std::uint64_t caller_attempts = 0;
    std::map<std::pair<std::string, std::string>, std::uint64_t> sent;  // By parent and node.
    std::map<std::pair<std::string, std::string>, std::uint64_t> ran;
    bool reported = false;
  };
  const auto retriesOf = [](const auto& counts, std::uint64_t caller_attempts) {
    std::uint64_t retries = 0;
    for (const auto& [call, count] : counts) {
      // A caller's own repeats are front requests of their own, each with an allowance.
      const std::uint64_t first_attempts = call.first.empty() ? caller_attempts : 1;
      retries += count - std::min(count, first_attempts);
    }
    return retries;
  };
  Violations violations;
  std::map<std::string, Tree> trees;
  for (const HistoryEvent& event : history) {
    if (event.type == HistoryEventType::kCallerSent) {
      trees[event.nonce].caller_attempts += 1;
      continue;
    }
    if (!isRun(event) && event.type != HistoryEventType::kAttemptSent) {
      continue;
    }
    Tree& tree = trees[event.nonce];
    auto& counts = isRun(event) ? tree.ran : tree.sent;
    counts[{event.parent, event.call}] += 1;
    const std::uint64_t callers = std::max<std::uint64_t>(1, tree.caller_attempts);
    const std::uint64_t retries = retriesOf(counts, callers);
    if (retries > callers * allowance && !tree.reported) {
      tree.reported = true;
      violations.push_back({"retry-budget", event.time_us, event.nonce,
                            std::to_string(retries) + " retries, at most " +
                                std::to_string(callers * allowance) + " allowed"});
    }
  }
  return violations;
}

Violations checkDraining(const History& history, Duration grace) {
  Violations violations;
  std::map<std::string, std::int64_t> leaving;
  for (const HistoryEvent& event : history) {
    if (event.type == HistoryEventType::kBackendDraining) {
      leaving.emplace(event.who, event.time_us);
    } else if (event.type == HistoryEventType::kBackendStopped ||
               event.type == HistoryEventType::kServerKilled) {
      leaving.erase(event.who);
    } else if (isRun(event)) {
      const auto found = leaving.find(event.who);
      if (found != leaving.end() && event.time_us > found->second + grace.count()) {
        violations.push_back({"drain-leaving", event.time_us, event.nonce,
                              event.who + " ran a call " +
                                  std::to_string((event.time_us - found->second) / 1000) +
                                  " ms after it began to leave"});
      }
    }
  }
  return violations;
}

Violations checkNothingCutOff(const History& history) {
  static const std::set<std::string> kCutOff = {"no_answer", "backend_lost", "server_lost"};
  Violations violations;
  for (const HistoryEvent& event : history) {
    if (event.type == HistoryEventType::kCallerAnswered && kCutOff.count(event.error) != 0) {
      violations.push_back({"planned-stop", event.time_us, event.nonce, "cut off: " + event.error});
    }
  }
  return violations;
}

Violations checkConfiguration(const History& history, const std::vector<std::string>& machines,
                              Duration deadline) {
  Violations violations;
  std::map<std::string, std::uint64_t> in_force;
  struct Expected {
    std::uint64_t index;
    std::int64_t due;
  };
  std::vector<Expected> expected;
  const auto check_due = [&](std::int64_t now) {
    while (!expected.empty() && expected.front().due < now) {
      for (const std::string& machine : machines) {
        if (in_force[machine] < expected.front().index) {
          violations.push_back({"config-in-force", expected.front().due, "",
                                machine + " holds " + std::to_string(in_force[machine]) +
                                    ", confirmed was " + std::to_string(expected.front().index)});
        }
      }
      expected.erase(expected.begin());
    }
  };
  for (const HistoryEvent& event : history) {
    check_due(event.time_us);
    if (event.type == HistoryEventType::kConfigurationInForce) {
      std::uint64_t& held = in_force[event.who];
      if (event.number < held) {
        violations.push_back({"config-monotonic", event.time_us, "",
                              event.who + " went from " + std::to_string(held) + " back to " +
                                  std::to_string(event.number)});
      }
      held = event.number;
    } else if (event.type == HistoryEventType::kPlanConfirmed) {
      expected.push_back({event.number, event.time_us + deadline.count()});
    }
  }
  check_due(kNever);
  return violations;
}

Violations checkOneWinner(const History& history) {
  Violations violations;
  std::map<std::string, std::uint64_t> winner;  // Base version to the version confirmed on it.
  for (const HistoryEvent& event : history) {
    if (event.type != HistoryEventType::kPlanConfirmed || event.detail.empty()) {
      continue;
    }
    const auto [position, first] = winner.emplace(event.detail, event.number);
    if (!first && position->second != event.number) {
      violations.push_back({"operator-race", event.time_us, "",
                            "two plans against version " + event.detail + " were confirmed"});
    }
  }
  return violations;
}

Violations checkShedOrder(const History& history, const std::set<std::string>& works,
                          std::int64_t from_us, std::int64_t to_us, double margin) {
  constexpr std::array<const char*, 3> kShedFirstToLast = {"bulk", "lookup", "commit_once"};
  std::map<std::string, std::pair<double, double>> counts;  // Kind to answered, refused.
  for (const HistoryEvent& event : history) {
    if (event.type != HistoryEventType::kCallerAnswered || event.time_us < from_us ||
        event.time_us > to_us || works.count(event.work) == 0) {
      continue;
    }
    counts[event.kind].first += 1;
    counts[event.kind].second += event.error == "overloaded" ? 1 : 0;
  }
  Violations violations;
  for (std::size_t later = 1; later < kShedFirstToLast.size(); ++later) {
    const auto& before = counts[kShedFirstToLast.at(later - 1)];
    const auto& after = counts[kShedFirstToLast.at(later)];
    if (before.first < 20 || after.first < 20) {
      continue;  // Too few to compare shares.
    }
    const double before_share = before.second / before.first;
    const double after_share = after.second / after.first;
    if (after_share > before_share + margin) {
      violations.push_back({"shed-order", from_us, "",
                            std::string(kShedFirstToLast.at(later)) + " refused " +
                                std::to_string(after_share) + ", but " +
                                kShedFirstToLast.at(later - 1) + " only " +
                                std::to_string(before_share)});
    }
  }
  return violations;
}

std::vector<std::string> describeRequest(const History& history, const std::string& nonce) {
  constexpr std::size_t kMostLines = 40;
  std::vector<std::string> lines;
  for (const HistoryEvent& event : history) {
    if (event.nonce != nonce || nonce.empty() || lines.size() >= kMostLines) {
      continue;
    }
    lines.push_back(std::to_string(event.time_us) + " " + historyEventName(event.type) + " " +
                    event.who + " " + event.place + " " + event.call + " " + event.outcome + " " +
                    event.error);
  }
  return lines;
}

}  // namespace ramppond
