// Answers of the proxy to the platform's readiness checks and to reports of the local server.
#pragma once

#include "net/stream/http_server.h"

namespace ramppond {

/// Answers with `status` and an empty JSON object.
inline void answer_empty_object(ServerExchange& exchange, int status) {
  auto head = HttpHead();
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  exchange.respond(std::move(head), "{}");
}

}  // namespace ramppond
