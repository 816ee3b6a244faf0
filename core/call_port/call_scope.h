// What all calls made on behalf of one call share: its retries, its deadline and its fate.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "core/call_model/call.h"

namespace ramppond {

/// One node of a front request's call tree, as the daemon that holds it sees it.
///
/// The retry allowance is one number for the whole front request. A node lends part of what it
/// holds with each call and gets back what was not spent; an answer that never comes counts as
/// all spent. Whatever fails, the retries of the tree so never exceed the number minted at the
/// front.
class CallScope {
 public:
  CallScope(const CallContext& context, TimePoint deadline)
      : context_(context), deadline_(deadline), retries_(context.retry_allowance) {}

  [[nodiscard]] const CallContext& context() const { return context_; }
  [[nodiscard]] TimePoint deadline() const { return deadline_; }
  [[nodiscard]] std::uint32_t retries() const { return retries_; }

  /// Pays for one retry. False if nothing is left or the call is already answered.
  bool spendRetry() {
    if (!open_ || retries_ == 0) {
      return false;
    }
    retries_ -= 1;
    return true;
  }
  /// Takes out what goes along with one call: half, so that parallel calls get a part too.
  std::uint32_t lend() {
    const std::uint32_t lent = open_ ? (retries_ + 1) / 2 : 0;
    retries_ -= lent;
    return lent;
  }
  /// Takes back what a call did not spend, never more than was lent to it.
  void giveBack(std::uint32_t lent, std::uint32_t returned) {
    if (open_) {
      retries_ += std::min(lent, returned);
    }
  }
  /// No call may be made, and nothing comes back, after the answer has been sent.
  std::uint32_t close() {
    open_ = false;
    return std::exchange(retries_, 0);
  }

  void observeCut(Level cut) { chain_cut_ = std::min(chain_cut_, cut); }
  [[nodiscard]] Level chainCut() const { return chain_cut_; }

  void callStarted(std::uint64_t token, TimePoint now) {
    if (calls_.empty()) {
      blocked_since_ = now;
    }
    calls_.insert(token);
  }
  void callEnded(std::uint64_t token, TimePoint now) {
    if (calls_.erase(token) != 0 && calls_.empty()) {
      blocked_ += now - blocked_since_;
    }
  }
  /// Tokens of the outbound calls in progress.
  [[nodiscard]] const std::set<std::uint64_t>& calls() const { return calls_; }
  /// Time during which at least one outbound call was in progress.
  [[nodiscard]] Duration blocked(TimePoint now) const {
    return calls_.empty() ? blocked_ : blocked_ + (now - blocked_since_);
  }

 private:
  CallContext context_;
  TimePoint deadline_;
  std::uint32_t retries_;
  bool open_ = true;
  Level chain_cut_ = kLowestLevel;
  std::set<std::uint64_t> calls_;
  Duration blocked_{0};
  TimePoint blocked_since_{0};
};

}  // namespace ramppond
