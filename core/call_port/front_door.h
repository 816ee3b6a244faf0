// What only the first daemon of a front request does: who asks, what it is worth, shed or not.
#pragma once

#include <map>
#include <string>

#include "core/call_model/call.h"
#include "core/call_model/configuration.h"
#include "core/call_port/call_scope.h"
#include "core/call_port/overload_policy.h"
#include "core/random.h"

namespace ramppond {

/// A request as a caller sent it, already checked for form.
struct FrontRequest {
  std::string caller_key;  ///< Empty for an anonymous caller.
  std::string service;
  CallPayload payload;
  std::string idempotency_key;  ///< Empty when the caller gave none.
  Duration deadline{0};         ///< Zero for the default.
};

constexpr Duration kDefaultDeadline = seconds(5);
constexpr Duration kMaximumDeadline = seconds(60);
constexpr std::uint32_t kAnonymousWeight = 1;

/// Admission cuts that answers brought back, by work type. The front refuses what a service
/// further down would refuse, before anything has been spent on it.
class ChainCuts {
 public:
  explicit ChainCuts(std::uint64_t random_seed) : random_(random_seed) {}

  /// Whether to send a request of this level. One in a while is let through as a probe.
  bool admits(const std::string& work_type, Level level, TimePoint now);
  void onAnswer(const std::string& work_type, Level chain_cut, Duration retry_after, TimePoint now);
  /// What to tell a caller that is refused here, with jitter.
  Duration retryAfter(const std::string& work_type);

 private:
  struct Entry {
    Level cut = kLowestLevel;
    Duration retry_after{0};
    TimePoint heard{0};
    TimePoint next_probe{0};
  };
  Random random_;
  std::map<std::string, Entry> entries_;
};

/// The verdict on a front request.
struct FrontDecision {
  ErrorKind error = ErrorKind::kNone;
  Duration retry_after{0};
  CallContext context;  ///< Minted; meaningful when there is no error.
  bool repeatable = false;
};

class FrontDoor {
 public:
  FrontDoor(OverloadPolicy policy, std::uint64_t random_seed)
      : policy_(std::move(policy)), random_(random_seed), cuts_(random_seed + 1) {}

  FrontDecision decide(const FrontRequest& request, const Configuration& configuration,
                       TimePoint now);
  void onAnswer(const CallScope& scope, const CallAnswer& answer, TimePoint now);

 private:
  std::string mintId();

  OverloadPolicy policy_;
  Random random_;
  ChainCuts cuts_;
};

}  // namespace ramppond
