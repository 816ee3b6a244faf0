// The random number generator of the project. The caller seeds it, so that runs are reproducible.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>

namespace ramppond {

/// PCG generator (O'Neill, 2014). A copy produces the same sequence as the original.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }
  /// Uniform in [0, bound); 0 when bound is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_(bound); }
  /// Uniform in [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  bool chance(double probability) { return uniform() < probability; }
  double exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(engine_);
  }
  double lognormal(double log_mean, double log_deviation) {
    return std::lognormal_distribution<double>(log_mean, log_deviation)(engine_);
  }

 private:
  pcg64 engine_;
};

}  // namespace ramppond
