#include "net/response_reader.h"

#include <utility>

#include "net/stream/http_status.h"

namespace ramppond {
namespace {

constexpr char kTooLarge[] = "the answer is too large";
constexpr char kMalformed[] = "the answer is malformed";

}  // namespace

ResponseReader::ResponseReader(std::uint32_t head_limit, std::size_t body_limit)
    : head_limit_(head_limit), body_limit_(body_limit) {
  startMessage();
}

void ResponseReader::startMessage() {
  parser_ = std::make_unique<HttpParser>(HttpParser::Side::kResponses, head_limit_, *this);
}

bool ResponseReader::readHead(std::string_view bytes) {
  if (head_done_) {
    return failure_.empty();
  }
  head_bytes_ += bytes.size();
  return head_bytes_ > head_limit_ ? fail(kTooLarge) : parse(bytes);
}

bool ResponseReader::readBody(std::string_view bytes) {
  // Behind an interim response the transport may take what follows for another protocol.
  return head_done_ ? parse(bytes) : fail(kMalformed);
}

bool ResponseReader::parse(std::string_view bytes) {
  if (whole_ || !failure_.empty()) {
    return failure_.empty();
  }
  input_.append(bytes);
  const ParseStep step = parser_->parse(input_.view());
  input_.consume(step.consumed);
  switch (step.state) {
    case ParseState::kInvalid:
      return fail(kMalformed);
    case ParseState::kTooLarge:
      return fail(kTooLarge);
    case ParseState::kComplete:
      whole_ = head_done_;
      if (!whole_) {
        startMessage();
      }
      break;
    case ParseState::kIncomplete:
      break;
  }
  return failure_.empty();
}

bool ResponseReader::finish() {
  if (!whole_ && head_done_ && failure_.empty()) {
    whole_ = parser_->parseEnd() == ParseState::kComplete;
  }
  return whole_ && failure_.empty();
}

void ResponseReader::onMessageHead(HttpHead head) {
  head_done_ = head.status >= kFirstFinalStatus;
  if (head_done_) {
    head_ = std::move(head);
  }
}

void ResponseReader::onMessageBody(std::string_view data) {
  if (body_.size() + data.size() > body_limit_) {
    fail(kTooLarge);
    return;
  }
  body_.append(data);
}

bool ResponseReader::fail(std::string reason) {
  if (failure_.empty()) {
    failure_ = std::move(reason);
  }
  return false;
}

}  // namespace ramppond
