// What a placement policy knows about the request that it selects a server for.
#pragma once

#include <string>

#include "core/time.h"

namespace ramppond {

struct placement_request {
  const std::string& route;
  bool first_attempt = true;  ///< Only the first attempt of a request may cause load queries.
  TimePoint now{0};
};

}  // namespace ramppond
