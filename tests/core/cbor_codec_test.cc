#include "core/cbor_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/call_model/call.h"
#include "core/consensus/raft_messages.h"
#include "core/control/control_messages.h"

namespace ramppond {
namespace {

CallRequest anyCall() {
  CallRequest call;
  call.id = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
  call.receiver_incarnation = *rc::gen::arbitrary<std::uint64_t>();
  call.context.request_id = *rc::gen::arbitrary<std::string>();
  call.context.time_left = Duration(*rc::gen::arbitrary<std::int64_t>());
  call.context.level = *rc::gen::arbitrary<std::uint32_t>();
  call.context.repeatable = *rc::gen::arbitrary<bool>();
  call.service = *rc::gen::arbitrary<std::string>();
  call.payload.body = *rc::gen::arbitrary<std::string>();
  return call;
}

RaftMessage anyRaftMessage() {
  RaftMessage message;
  message.type = RaftMessageType::kAppendRequest;
  message.from = *rc::gen::arbitrary<std::uint64_t>();
  message.term = *rc::gen::arbitrary<std::uint64_t>();
  const auto payloads = *rc::gen::arbitrary<std::vector<std::string>>();
  for (const std::string& payload : payloads) {
    LogEntry entry;
    entry.index = message.entries.size() + 1;
    entry.payload = payload;
    message.entries.push_back(entry);
  }
  return message;
}

// Decodes `bytes` as every message type. No input may crash a decoder.
void decodeAll(const std::string& bytes) {
  static_cast<void>(decode<CallRequest>(bytes));
  static_cast<void>(decode<CallAnswer>(bytes));
  static_cast<void>(decode<ControlRequest>(bytes));
  static_cast<void>(decode<ControlReply>(bytes));
  static_cast<void>(decode<RaftMessage>(bytes));
  static_cast<void>(decode<LogEntry>(bytes));
  static_cast<void>(decode<Snapshot>(bytes));
  static_cast<void>(decode<ControlSnapshot>(bytes));
  static_cast<void>(decode<Configuration>(bytes));
}

TEST(CborCodec, RoundTripKeepsEveryField) {
  EXPECT_TRUE(rc::check([] {
    const CallRequest call = anyCall();
    const auto decoded = decode<CallRequest>(encode(call));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode(*decoded) == encode(call));
    RC_ASSERT(decoded->payload.body == call.payload.body);
    RC_ASSERT(decoded->context.time_left == call.context.time_left);
  }));
}

TEST(CborCodec, RoundTripKeepsLogEntries) {
  EXPECT_TRUE(rc::check([] {
    const RaftMessage message = anyRaftMessage();
    const auto decoded = decode<RaftMessage>(encode(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode(*decoded) == encode(message));
  }));
}

TEST(CborCodec, TruncatedMessageIsRefused) {
  EXPECT_TRUE(rc::check([] {
    const std::string bytes = encode(anyCall());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!decode<CallRequest>(bytes.substr(0, length)).has_value());
  }));
}

TEST(CborCodec, TrailingBytesAreRefused) {
  const std::string bytes = encode(CallAnswer{});
  EXPECT_TRUE(decode<CallAnswer>(bytes).has_value());
  EXPECT_FALSE(decode<CallAnswer>(bytes + '\0').has_value());
}

TEST(CborCodec, RandomBytesNeverCrash) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) { decodeAll(bytes); }));
}

TEST(CborCodec, MutatedBytesNeverCrash) {
  EXPECT_TRUE(rc::check([] {
    std::string bytes = *rc::gen::arbitrary<bool>() ? encode(anyCall()) : encode(anyRaftMessage());
    const auto changes = *rc::gen::inRange<int>(1, 6);
    for (int change = 0; change < changes; ++change) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = *rc::gen::arbitrary<char>();
    }
    decodeAll(bytes);
  }));
}

TEST(CborCodec, HugeLengthsAreRefusedWithoutAllocating) {
  // An array, a byte string and a map with a declared length of 2^60.
  for (const unsigned char head : {0x9B, 0x5B, 0xBB}) {
    std::string bytes(1, static_cast<char>(head));
    bytes += std::string("\x10\x00\x00\x00\x00\x00\x00\x00", 8);
    EXPECT_FALSE(decode<CallRequest>(bytes).has_value());
  }
}

TEST(CborCodec, WrongTypesAndRangesAreRefused) {
  EXPECT_FALSE(decode<CallRequest>(std::string("\x01", 1)).has_value());
  EXPECT_FALSE(decode<CallAnswer>(std::string("\xA1\x05\x61x", 4)).has_value());
  // Status 2^40 does not fit its 32 bits.
  EXPECT_FALSE(decode<CallAnswer>(std::string("\xA1\x05\x1B\x00\x00\x01\x00\x00\x00\x00\x00", 11)));
}

TEST(CborCodec, UnknownFieldsAreSkipped) {
  EXPECT_TRUE(decode<CallId>(std::string("\xA2\x01\x07\x18\x63\x01", 6)).has_value());
}

}  // namespace
}  // namespace ramppond
