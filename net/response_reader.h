// Reads the response to one request from the bytes that a transport hands over, by the parser that
// the forwarding path uses.
//
// A library that transfers HTTP repairs or drops what it does not understand; both sides would then
// read different messages. So the library only transports: what it hands over is parsed here, and a
// malformed head, interim responses included, makes the response none. Used on one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/stream/http_parser.h"
#include "net/stream/input_buffer.h"

namespace ramppond {

/// Reads one response, interim responses before it included.
class ResponseReader : public HttpMessageSink {
 public:
  /// `head_limit` in bytes, of the head and all interim responses together; `body_limit` in bytes.
  ResponseReader(std::uint32_t head_limit, std::size_t body_limit);

  /// Takes bytes of a head. They are ignored once the head of the response has ended: a transport
  /// may hand over the fields of a trailer again. Returns false if no response can come any more.
  bool readHead(std::string_view bytes);
  /// Takes bytes behind the head, framed as they came. Returns false as above.
  bool readBody(std::string_view bytes);
  /// The transport has come to the orderly end of the response. Returns whether it is whole.
  bool finish();

  /// Of the final response; empty before its head has ended.
  [[nodiscard]] const HttpHead& head() const { return head_; }
  [[nodiscard]] std::string takeBody() { return std::move(body_); }
  /// Why no response can come any more; empty while one can.
  [[nodiscard]] const std::string& failure() const { return failure_; }

 private:
  void onMessageHead(HttpHead head) override;
  void onMessageBody(std::string_view data) override;
  void startMessage();
  bool parse(std::string_view bytes);
  bool fail(std::string reason);

  std::uint32_t head_limit_;
  std::size_t body_limit_;
  std::size_t head_bytes_ = 0;
  std::unique_ptr<HttpParser> parser_;
  InputBuffer input_;
  HttpHead head_;
  std::string body_;
  bool head_done_ = false;  ///< Of the final response.
  bool whole_ = false;
  std::string failure_;
};

}  // namespace ramppond
