// Lets retries to a destination grow only with its successes.
#pragma once

#include <algorithm>

namespace ramppond {

/// Successes fill, retries drain; the shape of gRPC's retry throttling (gRFC A6). In a lasting
/// failure retries stay under a tenth of the successes.
class RetryTokenBucket {
 public:
  void onSuccess() { tokens_ = std::min(kCapacity, tokens_ + kTokensPerSuccess); }
  /// Takes a token for one retry; false when there is none.
  bool take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kCapacity = 10.0;
  static constexpr double kTokensPerSuccess = 0.1;
  double tokens_ = kCapacity;
};

}  // namespace ramppond
