// Incremental HTTP/1.1 parsing on Boost.Beast: one message at a time, bodies as they arrive.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/stream/http_head.h"

namespace ramppond {

/// Is told the parts of a message in their order.
class HttpMessageSink {
 public:
  virtual ~HttpMessageSink() = default;
  virtual void onMessageHead(HttpHead head) = 0;
  virtual void onMessageBody(std::string_view data) = 0;
};

enum class ParseState : std::uint8_t {
  kIncomplete,  ///< More bytes are wanted.
  kComplete,    ///< The message has ended; what follows belongs to the next one.
  kInvalid,     ///< Not HTTP, a malformed status or field name, or contradictory framing.
  kTooLarge,    ///< The head, the line before a chunk, or the trailer is above the limit.
};

/// What one call to parse() did.
struct ParseStep {
  ParseState state = ParseState::kIncomplete;
  std::size_t consumed = 0;
};

/// Parses one message. A head must be offered whole: unconsumed bytes are to be offered again
/// with what follows them. There are never more of these than the limit, whatever the peer sends;
/// parts that are offered again are not scanned again.
class HttpParser {
 public:
  enum class Side : std::uint8_t { kRequests, kResponses };

  /// `head_limit` in bytes; it also bounds the line before a chunk with its extensions, and the
  /// last chunk with the trailer. The sink must outlive the parser.
  HttpParser(Side side, std::uint32_t head_limit, HttpMessageSink& sink);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Responses: the request was HEAD, so no body follows the head.
  void expectNoBody();
  ParseStep parse(std::string_view bytes);
  /// The peer has ended its side. kComplete if that ends the message properly.
  ParseState parseEnd();
  [[nodiscard]] bool headDone() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace ramppond
