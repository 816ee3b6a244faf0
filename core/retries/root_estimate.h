// Estimates the root of a call from the runs that may have made it.
//
// Input: the root of each candidate run, if known. Output: the most frequent rank and kind among
// them, since the candidates are equally likely; on a tie the more urgent and not repeatable one,
// so that a call is not served later than its client's request deserves. The caller is charged only
// if all candidates agree on it. No I/O; not thread safe.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/request_root.h"

namespace ramppond {

class root_estimate {
 public:
  void add(const std::optional<request_root>& root);

  /// std::nullopt without candidates, or if the root of most of them is unknown.
  [[nodiscard]] auto result() const -> std::optional<request_root>;

 private:
  struct kind_count {
    request_root kind;  // without a caller
    std::size_t count = 0;
  };

  std::vector<kind_count> kinds;
  std::size_t unknown = 0;
  std::optional<std::string> caller;  // of all candidates so far; empty if they differ
};

}  // namespace ramppond
