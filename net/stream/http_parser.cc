#include "net/stream/http_parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

#include "net/stream/http_status.h"

namespace ramppond {
namespace {

namespace http = boost::beast::http;
using Code = boost::beast::error_code;
using View = boost::beast::string_view;

std::string toString(View view) {
  return {view.data(), view.size()};
}

constexpr std::size_t kFieldSeparatorBytes = 4;  ///< The colon, a space and the end of the line.

// "0", the end of the line and the empty line. A chunk and what must follow it are longer.
constexpr std::size_t kShortestLastChunkBytes = 5;

// Collects the head and passes the body on. Fields of a trailer are dropped.
template <bool isRequest>
class BeastParser : public http::basic_parser<isRequest> {
 public:
  BeastParser(HttpMessageSink& sink, std::uint32_t head_limit)
      : sink_(sink), head_limit_(head_limit) {
    this->header_limit(head_limit);
    this->eager(true);
    // "No limit" (boost::none) would refuse every body with a length in Boost 1.74.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }
  [[nodiscard]] std::size_t headLimit() const { return head_limit_; }
  /// Whether the line before a chunk is what comes next.
  [[nodiscard]] bool awaitsChunk() const {
    return this->is_header_done() && this->chunked() && chunk_left_ == 0;
  }

 private:
  void on_request_impl(http::verb /*verb*/, View method, View target, int version,
                       Code& /*error*/) override {
    head_.method = toString(method);
    head_.target = toString(target);
    head_.http_1_0 = version < 11;
  }
  void on_response_impl(int status, View reason, int version, Code& error) override {
    // Beast takes any three digits for a status.
    if (!isStatus(status)) {
      error = http::error::bad_status;
      return;
    }
    head_.status = status;
    head_.reason = toString(reason);
    head_.http_1_0 = version < 11;
  }
  void on_field_impl(http::field field, View name, View value, Code& error) override {
    if (this->is_header_done()) {
      return;
    }
    // Beast applies its limit to the fields that it is offered at a time, not to their sum.
    field_bytes_ += name.size() + value.size() + kFieldSeparatorBytes;
    if (field_bytes_ > head_limit_) {
      error = http::error::header_limit;
      return;
    }
    if (field != http::field::content_length && field != http::field::transfer_encoding) {
      head_.fields.push_back({toString(name), toString(value)});
    }
  }
  void on_header_impl(Code& /*error*/) override {
    head_.keep_alive = this->keep_alive();
    head_.chunked = this->chunked();
    const auto length = this->content_length();
    if (length) {
      head_.content_length = *length;
    }
    sink_.onMessageHead(std::move(head_));
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         Code& /*error*/) override {}
  std::size_t on_body_impl(View body, Code& /*error*/) override {
    sink_.onMessageBody({body.data(), body.size()});
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t size, View /*extensions*/, Code& /*error*/) override {
    chunk_left_ = size;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, View body, Code& /*error*/) override {
    chunk_left_ -= body.size();
    sink_.onMessageBody({body.data(), body.size()});
    return body.size();
  }
  void on_finish_impl(Code& /*error*/) override {}

  HttpMessageSink& sink_;
  HttpHead head_;
  std::size_t head_limit_;
  std::size_t field_bytes_ = 0;   ///< Of the head.
  std::uint64_t chunk_left_ = 0;  ///< Bytes of the current chunk that have not come.
};

template <class Parser>
ParseStep step(Parser& parser, std::string_view bytes) {
  ParseStep result;
  while (result.consumed < bytes.size() && !parser.is_done()) {
    const std::string_view rest = bytes.substr(result.consumed);
    if (parser.awaitsChunk() && rest.size() < kShortestLastChunkBytes) {
      break;  // Beast asserts that a last chunk is not offered in shorter parts.
    }
    Code error;
    const std::size_t used = parser.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
    result.consumed += used;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      const bool large = error == http::error::header_limit;
      result.state = large ? ParseState::kTooLarge : ParseState::kInvalid;
      return result;
    }
    if (used == 0) {
      break;
    }
  }
  if (parser.is_done()) {
    result.state = ParseState::kComplete;
  } else if (bytes.size() - result.consumed > parser.headLimit()) {
    // Beast bounds neither the line before a chunk nor a trailer.
    result.state = ParseState::kTooLarge;
  }
  return result;
}

template <class Parser>
ParseState end(Parser& parser) {
  if (parser.is_done()) {
    return ParseState::kComplete;
  }
  if (!parser.got_some()) {
    return ParseState::kIncomplete;
  }
  Code error;
  parser.put_eof(error);
  return !error && parser.is_done() ? ParseState::kComplete : ParseState::kInvalid;
}

}  // namespace

class HttpParser::Implementation {
 public:
  Implementation(Side side, std::uint32_t head_limit, HttpMessageSink& sink) {
    if (side == Side::kRequests) {
      request = std::make_unique<BeastParser<true>>(sink, head_limit);
    } else {
      response = std::make_unique<BeastParser<false>>(sink, head_limit);
    }
  }

  std::unique_ptr<BeastParser<true>> request;
  std::unique_ptr<BeastParser<false>> response;
};

HttpParser::HttpParser(Side side, std::uint32_t head_limit, HttpMessageSink& sink)
    : implementation_(std::make_unique<Implementation>(side, head_limit, sink)) {}

HttpParser::~HttpParser() = default;

void HttpParser::expectNoBody() {
  if (implementation_->response != nullptr) {
    implementation_->response->skip(true);
  }
}

ParseStep HttpParser::parse(std::string_view bytes) {
  return implementation_->request != nullptr ? step(*implementation_->request, bytes)
                                             : step(*implementation_->response, bytes);
}

ParseState HttpParser::parseEnd() {
  return implementation_->request != nullptr ? end(*implementation_->request)
                                             : end(*implementation_->response);
}

bool HttpParser::headDone() const {
  return implementation_->request != nullptr ? implementation_->request->is_header_done()
                                             : implementation_->response->is_header_done();
}

}  // namespace ramppond
