#include "core/call_model/call.h"

#include <xxhash.h>

namespace ramppond {

std::string CallId::toString() const {
  return std::to_string(sender) + "-" + std::to_string(sequence);
}

std::uint64_t bodyChecksum(const std::string& body) {
  return XXH3_64bits(body.data(), body.size());
}

CallAnswer errorCallAnswer(const CallId& id, ErrorKind kind) {
  CallAnswer answer;
  answer.id = id;
  answer.error = kind;
  answer.outcome = errorAnswer(kind).outcome;
  answer.body_checksum = bodyChecksum(answer.body);
  return answer;
}

}  // namespace ramppond
