#include "core/retries/root_estimate.h"

#include <algorithm>
#include <tuple>

namespace ramppond {
namespace {

// The smaller one is preferred among equally frequent roots.
auto preference(const request_root& root) -> std::tuple<std::uint32_t, bool> {
  return {root.rank, root.repeatable};
}

}  // namespace

void root_estimate::add(const std::optional<request_root>& root) {
  if (!root) {
    this->unknown += 1;
    this->caller = std::string();
    return;
  }
  const auto found = std::find_if(this->roots.begin(), this->roots.end(), [&](const auto& known) {
    return preference(known.root) == preference(*root);
  });
  if (found == this->roots.end()) {
    this->roots.push_back({{root->rank, root->repeatable, {}}, 1});
  } else {
    found->count += 1;
  }
  if (this->caller.value_or(root->caller) != root->caller) {
    this->caller = std::string();
  } else {
    this->caller = root->caller;
  }
}

auto root_estimate::result() const -> std::optional<request_root> {
  const auto best = std::max_element(
      this->roots.begin(), this->roots.end(), [](const root_count& left, const root_count& right) {
        return left.count != right.count ? left.count < right.count
                                         : preference(right.root) < preference(left.root);
      });
  if (best == this->roots.end() || best->count < this->unknown) {
    return std::nullopt;
  }
  auto root = best->root;
  root.caller = this->caller.value_or(std::string());
  return root;
}

}  // namespace ramppond
