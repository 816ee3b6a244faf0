// What a control member keeps on disk, and how it is found again.
//
// Files of the data folder:
//   identity    one record: the member's NodeId, drawn when the folder was empty
//   hard_state  one record: HardState; replaced as a whole
//   snapshot    one record: Snapshot; replaced as a whole
//   log         records of LogEntry, one after another, appended to
// A record is
//   4 bytes  length of the payload, little endian
//   8 bytes  XXH3-64 of the payload, little endian
//   n bytes  payload: the CBOR of the struct
// A crash while appending leaves a torn last record: it ends before its length says, or from some
// byte on holds only zeros (blocks never written). That record was never acknowledged and is cut.
// Any other mismatch is damage to acknowledged data: the member refuses to start rather than guess,
// and must be wiped and added anew (docs/OPERATIONS.md).
// A start makes durable what it found: an earlier process may have been killed before its sync, and
// whatever a start has read counts as stored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/consensus/raft.h"
#include "storage/file_system.h"

namespace ramppond {

class RaftStorage {
 public:
  explicit RaftStorage(FileSystem& files) : files_(files) {}

  /// Reads everything. Returns why the member must not start, or nothing. `fresh_id` becomes the
  /// identity if the folder has none; not zero.
  std::optional<std::string> open(NodeId fresh_id);
  /// After open() has failed: whether the disk only took no writes, so that a new storage on the
  /// same files may open later.
  [[nodiscard]] bool mayOpenLater() const { return writes_refused_; }
  [[nodiscard]] NodeId id() const { return id_; }
  RaftRecovery takeRecovery() { return std::move(recovery_); }

  /// Makes one RaftReady durable, with one sync of the log at the most. False: stop at once.
  bool persist(const RaftReady& ready);
  /// Keeps a snapshot and drops the log up to it.
  bool saveSnapshot(const Snapshot& snapshot);

  [[nodiscard]] std::size_t logBytes() const { return log_bytes_; }
  [[nodiscard]] std::size_t snapshotBytes() const { return snapshot_bytes_; }
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  std::optional<std::string> openIdentity(NodeId fresh_id);
  std::optional<std::string> openLog();
  std::optional<std::string> takeEntries(std::vector<LogEntry> entries);
  std::optional<std::string> syncFound();
  /// Notes that the disk takes no writes; gives the reason.
  std::string refused(const char* file, const char* what);
  bool truncateFrom(LogIndex index);
  bool appendEntries(const std::vector<LogEntry>& entries);
  bool rewriteLog(LogIndex after);

  FileSystem& files_;
  NodeId id_ = 0;
  RaftRecovery recovery_;
  LogIndex first_index_ = 1;          ///< Of the first record in the log file.
  std::vector<std::size_t> offsets_;  ///< Where each record of the log starts.
  std::size_t log_bytes_ = 0;
  std::size_t snapshot_bytes_ = 0;
  std::uint64_t syncs_ = 0;
  bool writes_refused_ = false;
};

/// The bytes of one record.
std::string encodeRecord(const std::string& payload);

}  // namespace ramppond
