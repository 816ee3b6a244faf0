// Bodies that the rig's callers and back ends exchange, so that every answer can be traced to the
// request it belongs to.
#pragma once

#include <optional>
#include <string>

namespace ramppond {

/// Request: which front request, which node of its call tree.
struct WorkBody {
  std::string nonce;
  std::string key;   ///< The caller's Idempotency-Key.
  std::string call;  ///< "0" at the front, then one number per hop.
  std::string work;  ///< Work type, for the history.
  std::string kind;
  /// The run of a back end that makes the call; empty at the front. Two attempts that share it
  /// are a call and its retry.
  std::string parent;
};

std::string formatWorkBody(const WorkBody& body, std::size_t padding);
/// Nothing if `text` is not such a body or was cut short.
std::optional<WorkBody> parseWorkBody(const std::string& text);

}  // namespace ramppond
