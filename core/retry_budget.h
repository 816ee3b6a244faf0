// The retry budget of one service on one daemon.
//
// Every first send earns a fixed share of a repeat, so the sum over all daemons stays below the
// same share of all requests without any exchange between them, after restarts too. Saved repeats
// are bounded in number and age, so that a quiet hour does not pay for a storm.
#pragma once

#include <algorithm>

namespace ramppond {

class RetryBudget {
 public:
  RetryBudget() = default;
  RetryBudget(double earned_per_request, double most_saved)
      : earned_per_request_(earned_per_request), most_saved_(most_saved) {}

  void onFirstSend() { saved_ = std::min(most_saved_, saved_ + earned_per_request_); }
  /// Pays for one repeat. False when there is nothing to pay with.
  bool take() {
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  double earned_per_request_ = 0.1;
  double most_saved_ = 3;
  double saved_ = 0;
};

}  // namespace ramppond
