// The bytes of every message between ramppond's processes and of every stored record: processes of
// two versions run side by side during an upgrade, and files outlive the program that wrote them.
#include <gtest/gtest.h>

#include "core/call_model/call.h"
#include "core/call_model/configuration.h"
#include "core/cbor_codec.h"
#include "core/consensus/raft_messages.h"
#include "core/control/control_messages.h"
#include "core/control/control_state.h"
#include "core/crash_evidence/evidence_log.h"
#include "core/distribution/instance_record.h"
#include "core/distribution/proxy_messages.h"
#include "core/distribution/server_departure.h"
#include "core/distribution/traffic_difference.h"
#include "core/tenants/quota_messages.h"
#include "core/traffic/traffic_configuration.h"
#include "core/traffic/traffic_state.h"
#include "net/stream/frame_channel.h"
#include "storage/raft_storage.h"
#include "tests/compatibility/golden.h"
#include "tests/compatibility/sample.h"

namespace ramppond::compatibility {
namespace {

constexpr char kRecording[] = "messages.txt";

/// Encodes a sample of each type, and decodes what was recorded of it.
class MessageTable {
 public:
  template <class T>
  void add(const std::string& name) {
    this->encoded_[name] = toHex(encode(sampleOf<T>()));
    if (recording()) {
      return;
    }
    const auto recorded = this->recorded_.find(name);
    ASSERT_TRUE(recorded != this->recorded_.end()) << name;
    const auto decoded = decode<T>(fromHex(recorded->second));
    ASSERT_TRUE(decoded.has_value()) << name;
    EXPECT_EQ(toHex(encode(*decoded)), recorded->second) << name;
    const auto empty = decode<T>("\xbf\xff");
    ASSERT_TRUE(empty.has_value()) << name << ": fields that an earlier version lacks";
  }
  [[nodiscard]] const std::map<std::string, std::string>& encoded() const { return encoded_; }

 private:
  std::map<std::string, std::string> recorded_ =
      recording() ? std::map<std::string, std::string>() : readGolden(kRecording);
  std::map<std::string, std::string> encoded_;
};

TEST(Wire, EveryMessageAndStoredRecordKeepsItsBytes) {
  MessageTable table;
  table.add<RaftBatch>("raft_batch");
  table.add<LogEntry>("log_entry");
  table.add<HardState>("hard_state");
  table.add<Snapshot>("snapshot");
  table.add<ControlRequest>("control_request");
  table.add<ControlReply>("control_reply");
  table.add<ProxyPoll>("proxy_poll");
  table.add<ProxyUpdate>("proxy_news");
  table.add<InstanceRecord>("instance_record");
  table.add<traffic_difference>("traffic_difference");
  table.add<TrafficConfiguration>("traffic_configuration");
  table.add<TrafficReplacement>("traffic_replacement");
  table.add<TrafficSnapshot>("traffic_snapshot");
  table.add<Command>("command");
  table.add<ControlSnapshot>("control_snapshot");
  table.add<StoredControlState>("stored_control_state");
  table.add<departure_batch>("departure_batch");
  table.add<departure_query>("departure_query");
  table.add<Configuration>("configuration");
  table.add<evidence_batch>("evidence_batch");
  table.add<quota_report>("quota_report");
  table.add<quota_answer>("quota_word");
  table.add<CallRequest>("call_request");
  table.add<CallAnswer>("call_answer");
  expectGolden(kRecording, table.encoded());
}

TEST(Wire, FramesAndFileRecordsKeepTheirHeads) {
  std::map<std::string, std::string> encoded;
  encoded["control_request_frame"] = toHex(encodeFrame({7, FrameKind::kControlRequest, "body"}));
  encoded["control_reply_frame"] =
      toHex(encodeFrame({0x0102030405060708, FrameKind::kControlReply, std::string(300, 'b')}));
  encoded["raft_messages_frame"] = toHex(encodeFrame({0, FrameKind::kRaftMessages, ""}));
  encoded["file_record"] = toHex(encodeRecord("payload"));
  expectGolden("frames.txt", encoded);
}

}  // namespace
}  // namespace ramppond::compatibility
