// Messages whose parts go on without end, and heads that stop before their end, byte by byte and in
// larger pieces.
#include "net/stream/http_parser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <tuple>

#include "net/stream/input_buffer.h"

namespace ramppond {
namespace {

constexpr std::uint32_t kHeadLimit = 4096;
// Far more than a peer should be able to send of a part that never ends.
constexpr std::size_t kEndlessBytes = 1U << 20U;

class Sink : public HttpMessageSink {
 public:
  void onMessageHead(HttpHead head) override {
    heads += 1;
    fields = head.fields.size();
  }
  void onMessageBody(std::string_view data) override { body_bytes += data.size(); }
  int heads = 0;
  std::size_t fields = 0;
  std::size_t body_bytes = 0;
};

/// Feeds a parser as a connection does and counts what it keeps.
class Feeder {
 public:
  explicit Feeder(HttpParser::Side side) : parser_(side, kHeadLimit, sink) {}

  /// Returns the state after the last piece, or the first one that is not kIncomplete.
  ParseState feed(std::string_view bytes, std::size_t piece) {
    ParseState state = ParseState::kIncomplete;
    while (!bytes.empty() && state == ParseState::kIncomplete) {
      const std::size_t size = std::min(piece, bytes.size());
      input_.append(bytes.substr(0, size));
      fed += size;
      bytes.remove_prefix(size);
      const ParseStep step = parser_.parse(input_.view());
      input_.consume(step.consumed);
      state = step.state;
      most_kept = std::max(most_kept, input_.size());
    }
    return state;
  }
  ParseState end() { return parser_.parseEnd(); }

  Sink sink;
  std::size_t fed = 0;
  std::size_t most_kept = 0;

 private:
  HttpParser parser_;
  InputBuffer input_;
};

struct EndlessPart {
  const char* name;
  std::string start;   ///< Of a response; requests get another first line.
  std::string repeat;  ///< Comes again and again.
};

void PrintTo(const EndlessPart& part, std::ostream* out) {
  *out << part.name;
}

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kRequestLine = "POST / HTTP/1.1\r\n";
const std::string kChunked = kStatusLine + "Transfer-Encoding: chunked\r\n\r\n";

std::string asRequest(const std::string& start) {
  return start.rfind(kStatusLine, 0) == 0 ? kRequestLine + start.substr(kStatusLine.size())
                                          : "POST /";
}

class EndlessMessageTest : public testing::TestWithParam<std::tuple<EndlessPart, std::size_t>> {
 protected:
  static void expectBounded(HttpParser::Side side, const std::string& start) {
    const auto& [part, piece] = GetParam();
    Feeder feeder(side);
    // At once, so that what follows may come one field at a time.
    ASSERT_EQ(feeder.feed(start, start.size()), ParseState::kIncomplete);
    std::string endless;
    while (endless.size() < kEndlessBytes) {
      endless += part.repeat;
    }
    EXPECT_EQ(feeder.feed(endless, piece), ParseState::kTooLarge);
    // Fields that were taken, and what is kept.
    EXPECT_LE(feeder.fed, start.size() + 2 * kHeadLimit + piece);
    EXPECT_LE(feeder.most_kept, kHeadLimit + piece);
    EXPECT_LE(feeder.sink.fields, kHeadLimit);
  }
};

// Guards against a peer that fills the memory, or keeps a request waiting, with bytes that never
// become a message.
TEST_P(EndlessMessageTest, AnswerIsGivenUpAtTheLimit) {
  expectBounded(HttpParser::Side::kResponses, std::get<0>(GetParam()).start);
}

TEST_P(EndlessMessageTest, RequestIsGivenUpAtTheLimit) {
  expectBounded(HttpParser::Side::kRequests, asRequest(std::get<0>(GetParam()).start));
}

const auto kEndlessParts = testing::Values(
    EndlessPart{"FirstLine", "HTTP/1.1 200 ", "x"}, EndlessPart{"FieldName", kStatusLine, "x"},
    EndlessPart{"FieldValue", kStatusLine + "X: ", "x"},
    EndlessPart{"Fields", kStatusLine, "X: y\r\n"},
    EndlessPart{"FieldsWithTheNextName", kStatusLine + "X", ": y\r\nX"},
    EndlessPart{"ChunkSize", kChunked, "0"},
    EndlessPart{"ChunkSizeAfterAChunk", kChunked + "1\r\nx\r\n", "0"},
    EndlessPart{"ChunkExtension", kChunked + "1;a=", "x"},
    EndlessPart{"ChunkExtensions", kChunked + "1", ";a=b"},
    EndlessPart{"LastChunkExtension", kChunked + "0;a=", "x"},
    EndlessPart{"TrailerField", kChunked + "0\r\nX: ", "x"},
    EndlessPart{"TrailerFields", kChunked + "0\r\n", "X: y\r\n"});

// The pieces: single bytes, whole fields of the endless head (6 bytes), an odd size, and one that
// is longer than the limit.
INSTANTIATE_TEST_SUITE_P(Parts, EndlessMessageTest,
                         testing::Combine(kEndlessParts, testing::Values(1U, 6U, 1000U, 5000U)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) + "By" +
                                  std::to_string(std::get<1>(info.param));
                         });

// The bounds must not refuse what is long in sum only.
TEST(HttpParserTest, ManyChunksWithExtensionsAndATrailerAreWhole) {
  Feeder feeder(HttpParser::Side::kResponses);
  std::string message = kChunked;
  for (int chunk = 0; chunk < 1000; ++chunk) {
    message += "3;name=value\r\nabc\r\n";
  }
  message += "0\r\nChecksum: 1\r\n\r\n";
  EXPECT_EQ(feeder.feed(message, 7), ParseState::kComplete);
  EXPECT_EQ(feeder.sink.body_bytes, 3000U);
  EXPECT_EQ(feeder.sink.fields, 0U);
}

// Guards against an assertion of the parser's library that ends a process of a debug build.
TEST(HttpParserTest, EmptyChunkedBodyThatComesByteByByteIsWhole) {
  for (const char* end : {"0\r\n\r\n", "0\r\nX: y\r\n\r\n", "000;a=b\r\n\r\n"}) {
    Feeder feeder(HttpParser::Side::kResponses);
    EXPECT_EQ(feeder.feed(kChunked + end, 1), ParseState::kComplete) << end;
    EXPECT_EQ(feeder.sink.body_bytes, 0U);
  }
}

// Guards against a body whose bytes wait for the next chunk.
TEST(HttpParserTest, BytesOfAChunkArePassedOnAsTheyCome) {
  Feeder feeder(HttpParser::Side::kResponses);
  EXPECT_EQ(feeder.feed(kChunked + "5\r\nab", 1), ParseState::kIncomplete);
  EXPECT_EQ(feeder.sink.body_bytes, 2U);
  EXPECT_EQ(feeder.feed("cde\r\n", 1), ParseState::kIncomplete);
  EXPECT_EQ(feeder.sink.body_bytes, 5U);
}

TEST(HttpParserTest, HeadJustBelowTheLimitIsTaken) {
  Feeder feeder(HttpParser::Side::kResponses);
  std::string message = kStatusLine;
  while (message.size() < kHeadLimit - 100) {
    message += "Name: value\r\n";
  }
  message += "Content-Length: 0\r\n\r\n";
  EXPECT_EQ(feeder.feed(message, 13), ParseState::kComplete);
}

struct Cut {
  const char* name;
  std::string bytes;
};

void PrintTo(const Cut& cut, std::ostream* out) {
  *out << cut.name;
}

class CutHeadTest : public testing::TestWithParam<Cut> {};

// Guards against the part of a head that came being taken for a whole one: its client would get an
// answer with an empty or short body as complete.
TEST_P(CutHeadTest, IsNoMessage) {
  for (const std::size_t piece : {std::size_t(1), std::size_t(64), std::size_t(4000)}) {
    Feeder feeder(HttpParser::Side::kResponses);
    EXPECT_EQ(feeder.feed(GetParam().bytes, piece), ParseState::kIncomplete);
    EXPECT_NE(feeder.end(), ParseState::kComplete);
    EXPECT_EQ(feeder.sink.heads, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutHeadTest,
    testing::Values(Cut{"InTheFirstLine", "HTTP/1.1 200"},
                    Cut{"BeforeTheEndOfTheFirstLine", "HTTP/1.1 200 OK\r"},
                    Cut{"AfterTheFirstLine", kStatusLine},
                    Cut{"InAName", kStatusLine + "Content-Le"},
                    Cut{"InAValue", kStatusLine + "Content-Length: 1"},
                    Cut{"BetweenFields", kStatusLine + "Content-Length: 10\r\n"},
                    Cut{"BeforeTheLastLineFeed", kStatusLine + "Content-Length: 10\r\n\r"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
