#include "core/placement/known_instance.h"

namespace ramppond {

std::optional<rate_load> KnownInstance::rate() const {
  const bool current = named_rate && named_rate->incarnation == record.server_incarnation;
  return current ? std::optional<rate_load>(named_rate->load) : std::nullopt;
}

}  // namespace ramppond
