// Durable Raft state of a control member: writing it, and recovering it at a start.
//
// Files of the data folder:
//   identity    one record: the member's NodeId, generated when the folder was empty
//   hard_state  one record: HardState; replaced as a whole
//   snapshot    one record: Snapshot; replaced as a whole
//   log         records of LogEntry in index order, append-only
// A record is
//   4 bytes  length of the payload, little endian
//   8 bytes  XXH3-64 of the payload, little endian
//   n bytes  payload: the CBOR of the struct
// A crash during an append leaves a torn last record: it is shorter than its length field says, or
// it ends in zeros because the last blocks were never written. Such a record was never acknowledged
// and is truncated. Any other mismatch means that acknowledged data is damaged. The member then
// refuses to start; its data folder must be wiped and the member added again (docs/OPERATIONS.md).
// open() syncs everything that it has read. An earlier process may have been killed between a write
// and its sync, and the member may acknowledge recovered data without writing it again.
//
// Not thread-safe.
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

  /// Reads all files and syncs them. Returns the reason if the member must not start, else
  /// std::nullopt. `fresh_id` becomes the identity if the folder has none; it must not be zero.
  std::optional<std::string> open(NodeId fresh_id);
  /// After open() has failed: true if the only fault was a failed write or sync, so that a new
  /// RaftStorage on the same files may succeed later. False if the data is damaged.
  [[nodiscard]] bool canRetryOpen() const { return write_failed_; }
  [[nodiscard]] NodeId id() const { return id_; }
  /// Moves out the state that open() has recovered.
  RaftRecovery takeRecovery() { return std::move(recovery_); }

  /// Makes one RaftReady durable, with at most one sync of the log. On false the caller must stop
  /// at once: the contents on disk are unknown.
  bool persist(const RaftReady& ready);
  /// Replaces the snapshot and drops the log entries that it covers. Returns false like persist().
  bool saveSnapshot(const Snapshot& snapshot);

  [[nodiscard]] std::size_t logBytes() const { return log_bytes_; }
  [[nodiscard]] std::size_t snapshotBytes() const { return snapshot_bytes_; }
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  std::optional<std::string> openIdentity(NodeId fresh_id);
  std::optional<std::string> openLog();
  std::optional<std::string> recoverEntries(std::vector<LogEntry> entries);
  std::optional<std::string> syncRecoveredFiles();
  /// Sets `write_failed_` and returns the reason.
  std::string writeFailure(const char* file, const char* what);
  bool truncateFrom(LogIndex index);
  bool appendEntries(const std::vector<LogEntry>& entries);
  bool rewriteLog(LogIndex after);

  FileSystem& files_;
  NodeId id_ = 0;
  RaftRecovery recovery_;
  LogIndex first_index_ = 1;          ///< Index of the first record in the log file.
  std::vector<std::size_t> offsets_;  ///< Byte offset of each record in the log file.
  std::size_t log_bytes_ = 0;
  std::size_t snapshot_bytes_ = 0;
  std::uint64_t syncs_ = 0;
  bool write_failed_ = false;
};

/// Returns the bytes of one record, header included.
std::string encodeRecord(const std::string& payload);

}  // namespace ramppond
