#include "core/distribution/traffic_history.h"

#include <algorithm>
#include <utility>

#include "core/cbor_codec.h"
#include "core/distribution/traffic_difference.h"

namespace ramppond {
namespace {

// A connected proxy gets each change within a second, and operators make at most three changes a
// second. With fewer entries, slightly late proxies get the full configuration; more entries take
// more memory.
constexpr auto max_earlier = std::size_t(8);

}  // namespace

void traffic_history::on_in_force(std::uint64_t log_index,
                                  const TrafficConfiguration& configuration) {
  if (log_index == this->index) {
    return;
  }
  if (this->index != 0) {
    this->earlier.push_back({this->index, std::move(this->current), std::string()});
  }
  if (this->earlier.size() > max_earlier) {
    this->earlier.pop_front();
  }
  for (auto& p : this->earlier) {
    p.difference.clear();
    p.difference_computed = false;
  }
  this->index = log_index;
  this->current = configuration;
  this->encoded = encode(configuration);
}

auto traffic_history::difference_from(std::uint64_t base_index) -> const std::string& {
  static const auto none = std::string();
  const auto found =
      std::find_if(this->earlier.begin(), this->earlier.end(),
                   [&](const previous_version& p) { return p.log_index == base_index; });
  if (found == this->earlier.end()) {
    return none;
  }
  if (!std::exchange(found->difference_computed, true)) {
    auto difference = encode(difference_of(base_index, found->configuration, this->current));
    if (difference.size() < this->encoded.size()) {
      found->difference = std::move(difference);
    }
  }
  return found->difference;
}

}  // namespace ramppond
