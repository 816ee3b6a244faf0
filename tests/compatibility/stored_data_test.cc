// Data folders that earlier programs wrote: one by the storage with samples, one by a coordinator
// that was given configurations.
#include <gtest/gtest.h>

#include <filesystem>

#include "core/cbor_codec.h"
#include "core/control/control_state.h"
#include "lab/simulation/memory_file_system.h"
#include "storage/raft_storage.h"
#include "tests/compatibility/golden.h"
#include "tests/compatibility/sample.h"

namespace ramppond::compatibility {
namespace {

const std::vector<std::string> kFiles = {"identity", "hard_state", "snapshot", "log"};
constexpr NodeId kIdentity = 0x1122334455667788;

Snapshot sampleSnapshot() {
  auto snapshot = sampleOf<Snapshot>();
  snapshot.index = 3;
  snapshot.state = encode(sampleOf<ControlSnapshot>());
  return snapshot;
}

std::vector<LogEntry> sampleEntries() {
  std::vector<LogEntry> entries;
  for (LogIndex index = 4; index <= 6; ++index) {
    auto entry = sampleOf<LogEntry>();
    entry.index = index;
    entry.payload = encode(sampleOf<Command>());
    entries.push_back(entry);
  }
  return entries;
}

void writeSamples(FileSystem& files) {
  RaftStorage storage(files);
  ASSERT_FALSE(storage.open(kIdentity));
  ASSERT_TRUE(storage.saveSnapshot(sampleSnapshot()));
  RaftReady ready;
  ready.hard_state = sampleOf<HardState>();
  ready.append = sampleEntries();
  ASSERT_TRUE(storage.persist(ready));
}

void load(const std::string& folder, FileSystem& files) {
  for (const std::string& name : kFiles) {
    const std::string path = goldenPath(folder + "/" + name);
    if (std::filesystem::exists(path)) {
      ASSERT_TRUE(files.write(name, readFile(path)));
      ASSERT_TRUE(files.sync(name));
    }
  }
  ASSERT_TRUE(files.syncFolder());
}

TEST(StoredData, TheStorageWritesTheSameBytes) {
  MemoryFileSystem files(1);
  writeSamples(files);
  for (const std::string& name : kFiles) {
    const std::string path = goldenPath("storage/" + name);
    if (recording()) {
      writeFile(path, files.read(name).value_or(""));
    }
    EXPECT_EQ(toHex(files.read(name).value_or("")), toHex(readFile(path))) << name;
  }
}

TEST(StoredData, AFolderOfAnEarlierVersionIsRead) {
  MemoryFileSystem files(1);
  load("storage", files);
  RaftStorage storage(files);
  ASSERT_FALSE(storage.open(1));
  EXPECT_EQ(storage.id(), kIdentity);
  const RaftRecovery found = storage.takeRecovery();
  EXPECT_EQ(encode(found.hard_state), encode(sampleOf<HardState>()));
  EXPECT_EQ(encode(found.snapshot), encode(sampleSnapshot()));
  ASSERT_EQ(found.entries.size(), sampleEntries().size());
  for (std::size_t i = 0; i < found.entries.size(); ++i) {
    EXPECT_EQ(encode(found.entries[i]), encode(sampleEntries()[i]));
  }
}

TEST(StoredData, AFolderThatACoordinatorLeftGivesItsConfigurationBack) {
  MemoryFileSystem files(1);
  load("coordinator", files);
  RaftStorage storage(files);
  ASSERT_FALSE(storage.open(1));
  const RaftRecovery found = storage.takeRecovery();
  ASSERT_FALSE(found.entries.empty());
  ControlState state;
  if (!found.snapshot.state.empty()) {
    const auto snapshot = decode<StoredControlState>(found.snapshot.state);
    ASSERT_TRUE(snapshot.has_value());
    state.restore(*snapshot);
  }
  for (const LogEntry& entry : found.entries) {
    if (entry.type != EntryType::kCommand) {
      continue;
    }
    const auto command = decode<Command>(entry.payload);
    ASSERT_TRUE(command.has_value()) << entry.index;
    EXPECT_EQ(encode(*command), entry.payload) << entry.index;
    state.apply(*command, {entry.term, entry.index});
  }
  expectGolden("coordinator_state.txt", {{"snapshot", toHex(encode(state.snapshot()))}});
}

}  // namespace
}  // namespace ramppond::compatibility
