#include "lab/work_body.h"

#include <sstream>

namespace ramppond {
namespace {

constexpr char kEnd[] = "end";

}  // namespace

std::string formatWorkBody(const WorkBody& body, std::size_t padding) {
  return body.nonce + '\n' + body.key + '\n' + body.call + '\n' + body.work + '\n' + body.kind +
         '\n' + body.parent + '\n' + std::string(padding, '.') + '\n' + kEnd + '\n';
}

std::optional<WorkBody> parseWorkBody(const std::string& text) {
  std::istringstream lines(text);
  WorkBody body;
  std::string padding;
  std::string end;
  const bool whole = std::getline(lines, body.nonce) && std::getline(lines, body.key) &&
                     std::getline(lines, body.call) && std::getline(lines, body.work) &&
                     std::getline(lines, body.kind) && std::getline(lines, body.parent) &&
                     std::getline(lines, padding) && std::getline(lines, end) && end == kEnd;
  if (!whole) {
    return std::nullopt;
  }
  return body;
}

}  // namespace ramppond
