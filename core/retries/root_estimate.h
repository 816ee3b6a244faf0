// Estimates the root of a call from the runs that may have made it.
//
// Input: the root of each candidate run, if known. Output: the most frequent rank and repeatability
// among them, since the candidates are equally likely; on a tie the more urgent rank, then the one
// that is not repeatable, so that a call is not served later than its client's request would be.
// The caller is charged only if all candidates agree on it. No I/O; not thread safe.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/request_root.h"

namespace ramppond {

class root_estimate {
 public:
  /// Adds a candidate run; std::nullopt if its root is unknown.
  void add(const std::optional<request_root>& root);

  /// std::nullopt without candidates, or if the root of most of them is unknown.
  [[nodiscard]] auto result() const -> std::optional<request_root>;

 private:
  struct root_count {
    request_root root;  // without a caller
    std::size_t count = 0;
  };

  std::vector<root_count> roots;
  std::size_t unknown = 0;            // candidates with an unknown root
  std::optional<std::string> caller;  // of all candidates so far; empty if they differ
};

}  // namespace ramppond
