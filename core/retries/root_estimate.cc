#include "core/retries/root_estimate.h"

#include <algorithm>
#include <tuple>

namespace ramppond {
namespace {

// Smaller is preferred among equally frequent kinds.
auto preference(const request_root& kind) -> std::tuple<std::uint32_t, bool> {
  return {kind.rank, kind.repeatable};
}

}  // namespace

void root_estimate::add(const std::optional<request_root>& root) {
  if (!root) {
    this->unknown += 1;
    this->caller = std::string();
    return;
  }
  const auto found = std::find_if(this->kinds.begin(), this->kinds.end(), [&](const auto& known) {
    return preference(known.kind) == preference(*root);
  });
  if (found == this->kinds.end()) {
    this->kinds.push_back({{root->rank, root->repeatable, {}}, 1});
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
      this->kinds.begin(), this->kinds.end(), [](const kind_count& left, const kind_count& right) {
        return left.count != right.count ? left.count < right.count
                                         : preference(right.kind) < preference(left.kind);
      });
  if (best == this->kinds.end() || best->count < this->unknown) {
    return std::nullopt;
  }
  auto root = best->kind;
  root.caller = this->caller.value_or(std::string());
  return root;
}

}  // namespace ramppond
