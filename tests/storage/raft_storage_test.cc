#include "storage/raft_storage.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/cbor_codec.h"
#include "lab/simulation/memory_file_system.h"

namespace ramppond {
namespace {

constexpr NodeId kFreshId = 11;

LogEntry entryAt(LogIndex index, const std::string& payload = "payload") {
  LogEntry entry;
  entry.term = 1;
  entry.index = index;
  entry.type = EntryType::kCommand;
  entry.payload = payload + std::to_string(index);
  return entry;
}

RaftReady appendOf(LogIndex first, LogIndex last) {
  RaftReady ready;
  for (LogIndex index = first; index <= last; ++index) {
    ready.append.push_back(entryAt(index));
  }
  return ready;
}

class RaftStorageTest : public testing::Test {
 protected:
  std::optional<std::string> reopen() {
    storage_ = std::make_unique<RaftStorage>(files_);
    auto error = storage_->open(kFreshId + 1);
    recovery_ = storage_->takeRecovery();
    return error;
  }
  void fill(LogIndex last) {
    ASSERT_FALSE(reopen());
    ASSERT_TRUE(storage_->persist(appendOf(1, last)));
  }

  MemoryFileSystem files_{1};
  std::unique_ptr<RaftStorage> storage_;
  RaftRecovery recovery_;
};

TEST_F(RaftStorageTest, KeepsIdentityAcrossReopenAndTakesFreshIdInEmptyFolder) {
  ASSERT_FALSE(storage_ == nullptr ? reopen() : std::nullopt);
  const NodeId first = storage_->id();
  ASSERT_FALSE(reopen());
  EXPECT_EQ(storage_->id(), first);
  files_.wipe();
  storage_ = std::make_unique<RaftStorage>(files_);
  ASSERT_FALSE(storage_->open(999));
  EXPECT_EQ(storage_->id(), 999U);
}

TEST_F(RaftStorageTest, RecoversPersistedStateAfterCrash) {
  ASSERT_FALSE(reopen());
  RaftReady ready = appendOf(1, 5);
  ready.hard_state = HardState{7, 3, 11};
  ASSERT_TRUE(storage_->persist(ready));
  RaftReady replaced;
  replaced.truncate_from = 4;
  replaced.append = {entryAt(4, "other")};
  ASSERT_TRUE(storage_->persist(replaced));
  files_.crash();
  ASSERT_FALSE(reopen());
  EXPECT_EQ(recovery_.hard_state.term, 3U);
  ASSERT_EQ(recovery_.entries.size(), 4U);
  EXPECT_EQ(recovery_.entries.back().payload, "other4");
}

TEST_F(RaftStorageTest, TruncatesTornTail) {
  fill(3);
  std::string bytes = *files_.read("log");
  const std::string extra = encodeRecord(encode(entryAt(4)));
  for (std::size_t kept = 1; kept < extra.size(); ++kept) {
    files_.write("log", bytes + extra.substr(0, kept));
    files_.sync("log");
    ASSERT_FALSE(reopen()) << kept;
    ASSERT_EQ(recovery_.entries.size(), 3U) << kept;
  }
  files_.write("log", bytes + extra.substr(0, 5) + std::string(40, '\0'));
  files_.sync("log");
  ASSERT_FALSE(reopen());
  EXPECT_EQ(recovery_.entries.size(), 3U);
}

// A process that is killed between a write and its sync leaves data that was never acknowledged.
// The next start may acknowledge that data, so open() must sync it: a power loss right after open()
// must not lose it.
TEST(RaftStorageReopened, RecoveredDataSurvivesPowerLossAfterOpen) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MemoryFileSystem files(seed);
    {
      RaftStorage storage(files);
      ASSERT_FALSE(storage.open(kFreshId));
      RaftReady ready = appendOf(1, 3);
      ready.hard_state = HardState{7, 3, 11};
      ASSERT_TRUE(storage.persist(ready));
    }
    ASSERT_TRUE(files.append("log", encodeRecord(encode(entryAt(4)))));
    ASSERT_TRUE(files.write("hard_state.new", encodeRecord(encode(HardState{7, 4, 12}))));
    ASSERT_TRUE(files.sync("hard_state.new"));
    ASSERT_TRUE(files.rename("hard_state.new", "hard_state"));
    RaftStorage found(files);
    ASSERT_FALSE(found.open(kFreshId + 1));
    const RaftRecovery before = found.takeRecovery();
    ASSERT_EQ(before.entries.size(), 4U);
    ASSERT_EQ(before.hard_state.term, 4U);
    files.crash();
    RaftStorage after(files);
    ASSERT_FALSE(after.open(kFreshId + 1)) << "seed " << seed;
    const RaftRecovery recovery = after.takeRecovery();
    EXPECT_EQ(recovery.entries.size(), 4U) << "seed " << seed;
    EXPECT_EQ(recovery.hard_state.term, 4U) << "seed " << seed;
  }
}

// Failed writes may succeed later; damage is permanent.
TEST(RaftStorageReopened, ReportsFailedWritesAsRetryableAndDamageAsPermanent) {
  MemoryFileSystem files(1);
  files.failAfter(0);
  RaftStorage unwritable(files);
  EXPECT_TRUE(unwritable.open(kFreshId));
  EXPECT_TRUE(unwritable.canRetryOpen());
  files.wipe();
  RaftStorage fresh(files);
  ASSERT_FALSE(fresh.open(kFreshId));
  EXPECT_FALSE(fresh.canRetryOpen());
  files.flipByte("identity", 14);
  RaftStorage damaged(files);
  EXPECT_TRUE(damaged.open(kFreshId));
  EXPECT_FALSE(damaged.canRetryOpen());
}

TEST_F(RaftStorageTest, RefusesToOpenLogWithFlippedByteBeforeLastRecord) {
  fill(4);
  const std::size_t size = files_.sizeOf("log");
  const std::size_t last_record = encodeRecord(encode(entryAt(4))).size();
  const std::string intact = *files_.read("log");
  for (std::size_t offset = 0; offset < size - last_record; ++offset) {
    files_.write("log", intact);
    files_.sync("log");
    files_.flipByte("log", offset);
    const auto error = reopen();
    ASSERT_TRUE(error) << "byte " << offset;
    EXPECT_NE(error->find("log: damaged at byte"), std::string::npos) << *error;
  }
}

TEST_F(RaftStorageTest, NamesDamagedFileInError) {
  ASSERT_FALSE(reopen());
  RaftReady ready;
  ready.hard_state = HardState{7, 3, 11};
  ASSERT_TRUE(storage_->persist(ready));
  for (const std::string name : {"hard_state", "identity"}) {
    files_.flipByte(name, 14);
    const auto error = reopen();
    ASSERT_TRUE(error);
    EXPECT_EQ(error->rfind(name, 0), 0U) << *error;
    files_.flipByte(name, 14);
  }
}

TEST_F(RaftStorageTest, RefusesToOpenStateWithoutIdentity) {
  files_.write("log", encodeRecord(encode(entryAt(1))));
  const auto error = reopen();
  ASSERT_TRUE(error);
  EXPECT_NE(error->find("identity"), std::string::npos);
}

TEST_F(RaftStorageTest, SnapshotDropsLogEntriesItCovers) {
  fill(10);
  Snapshot snapshot;
  snapshot.index = 6;
  snapshot.term = 1;
  snapshot.state = "state";
  ASSERT_TRUE(storage_->saveSnapshot(snapshot));
  files_.crash();
  ASSERT_FALSE(reopen());
  EXPECT_EQ(recovery_.snapshot.state, "state");
  ASSERT_EQ(recovery_.entries.size(), 4U);
  EXPECT_EQ(recovery_.entries.front().index, 7U);
}

// Injects a power loss at each file operation in turn. Afterwards open() must succeed, recover all
// acknowledged entries and recover no entry that was never passed to persist().
TEST(RaftStorageCrash, KeepsAcknowledgedEntriesAtEveryCrashPoint) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::uint64_t crash_at = 0; crash_at < 45; ++crash_at) {
      MemoryFileSystem files(seed * 1000 + crash_at);
      files.failAfter(crash_at);
      LogIndex acknowledged = 0;
      LogIndex snapshot_acknowledged = 0;
      NodeId identity = 0;
      {
        RaftStorage storage(files);
        bool working = !storage.open(kFreshId);
        identity = working ? storage.id() : 0;
        storage.takeRecovery();
        for (LogIndex index = 1; working && index <= 9; ++index) {
          working = storage.persist(appendOf(index, index));
          acknowledged = working ? index : acknowledged;
          if (working && index % 3 == 0) {
            Snapshot snapshot;
            snapshot.index = index - 1;
            snapshot.term = 1;
            snapshot.state = "state";
            working = storage.saveSnapshot(snapshot);
            snapshot_acknowledged = working ? snapshot.index : snapshot_acknowledged;
          }
        }
      }
      files.crash();
      RaftStorage storage(files);
      const auto error = storage.open(kFreshId + 1);
      ASSERT_FALSE(error) << "seed " << seed << " crash at " << crash_at << ": " << *error;
      ASSERT_TRUE(identity == 0 || storage.id() == identity);
      const RaftRecovery recovery = storage.takeRecovery();
      ASSERT_GE(recovery.snapshot.index, snapshot_acknowledged);
      LogIndex last = recovery.snapshot.index;
      for (const LogEntry& entry : recovery.entries) {
        ASSERT_EQ(entry.payload, "payload" + std::to_string(entry.index));
        last = std::max(last, entry.index);
      }
      ASSERT_GE(last, acknowledged) << "seed " << seed << " crash at " << crash_at;
    }
  }
}

TEST(RaftStorageFuzz, OpenDoesNotCrashOnRandomFiles) {
  EXPECT_TRUE(rc::check([](const std::string& log, const std::string& state) {
    MemoryFileSystem files(1);
    RaftStorage fresh(files);
    RC_ASSERT(!fresh.open(kFreshId));
    files.write("log", log);
    files.write("hard_state", state);
    RaftStorage storage(files);
    static_cast<void>(storage.open(kFreshId));
  }));
}

}  // namespace
}  // namespace ramppond
