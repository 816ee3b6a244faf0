#include "storage/raft_storage.h"

#include <xxhash.h>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kHardStateFile[] = "hard_state";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kRecordHeaderBytes = kLengthBytes + kChecksumBytes;

struct Identity {
  NodeId id = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, id);
  }
};

void appendLittleEndian(std::string& bytes, std::uint64_t value, std::size_t size) {
  for (std::size_t byte = 0; byte < size; ++byte) {
    bytes.push_back(static_cast<char>((value >> (8 * byte)) & 0xFFU));
  }
}

std::uint64_t littleEndian(const std::string& bytes, std::size_t offset, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t byte = 0; byte < size; ++byte) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + byte]))
             << (8 * byte);
  }
  return value;
}

enum class RecordState { kIntact, kTorn, kDamaged };

struct DecodedRecord {
  RecordState state = RecordState::kTorn;
  std::string payload;
  std::size_t end = 0;
};

DecodedRecord decodeRecord(const std::string& bytes, std::size_t offset) {
  DecodedRecord record;
  if (bytes.size() - offset < kRecordHeaderBytes) {
    return record;
  }
  const std::size_t length = littleEndian(bytes, offset, kLengthBytes);
  const std::uint64_t checksum = littleEndian(bytes, offset + kLengthBytes, kChecksumBytes);
  if (length > bytes.size() - offset - kRecordHeaderBytes) {
    return record;
  }
  record.payload = bytes.substr(offset + kRecordHeaderBytes, length);
  record.end = offset + kRecordHeaderBytes + length;
  const bool whole = XXH3_64bits(record.payload.data(), length) == checksum && length > 0;
  record.state = whole ? RecordState::kIntact : RecordState::kDamaged;
  return record;
}

// Returns whether an intact record of a log entry starts at `from` or later. If so, an unreadable
// record before it is damage and not a torn tail.
bool hasIntactEntryAfter(const std::string& bytes, std::size_t from) {
  for (std::size_t offset = from; offset + kRecordHeaderBytes < bytes.size(); ++offset) {
    const DecodedRecord record = decodeRecord(bytes, offset);
    if (record.state == RecordState::kIntact && decode<LogEntry>(record.payload)) {
      return true;
    }
  }
  return false;
}

// Returns whether the unreadable `record` at `offset` is a torn tail and not damage: no intact
// record follows, and the record is incomplete or its last blocks were never written.
bool isTornTail(const std::string& bytes, std::size_t offset, const DecodedRecord& record) {
  if (hasIntactEntryAfter(bytes, offset + 1)) {
    return false;
  }
  if (record.state == RecordState::kTorn) {
    return true;
  }
  // Every payload ends with a CBOR break (0xFF), so a last byte of zero was never written.
  return bytes.back() == 0;
}

template <class T>
std::optional<std::string> readRecordFile(FileSystem& files, const char* name,
                                          std::optional<T>& value, std::size_t* size = nullptr) {
  const auto bytes = files.read(name);
  if (!bytes) {
    return std::nullopt;
  }
  if (size != nullptr) {
    *size = bytes->size();
  }
  const DecodedRecord record = decodeRecord(*bytes, 0);
  if (record.state == RecordState::kIntact && record.end == bytes->size()) {
    value = decode<T>(record.payload);
  }
  if (!value) {
    return std::string(name) +
           ": damaged (checksum does not match); wipe this member's data "
           "folder and add it anew";
  }
  return std::nullopt;
}

template <class T>
bool replaceRecord(FileSystem& files, const char* name, const T& value) {
  return replaceFile(files, name, encodeRecord(encode(value)));
}

}  // namespace

std::string encodeRecord(const std::string& payload) {
  std::string record;
  appendLittleEndian(record, payload.size(), kLengthBytes);
  appendLittleEndian(record, XXH3_64bits(payload.data(), payload.size()), kChecksumBytes);
  return record + payload;
}

std::optional<std::string> RaftStorage::open(NodeId fresh_id) {
  if (auto error = openIdentity(fresh_id)) {
    return error;
  }
  std::optional<HardState> hard_state;
  if (auto error = readRecordFile(files_, kHardStateFile, hard_state)) {
    return error;
  }
  std::optional<Snapshot> snapshot;
  if (auto error = readRecordFile(files_, kSnapshotFile, snapshot, &snapshot_bytes_)) {
    return error;
  }
  recovery_.hard_state = hard_state.value_or(HardState{});
  recovery_.snapshot = snapshot.value_or(Snapshot{});
  if (auto error = openLog()) {
    return error;
  }
  return syncRecoveredFiles();
}

std::optional<std::string> RaftStorage::syncRecoveredFiles() {
  if (log_bytes_ > 0 && !files_.sync(kLogFile)) {
    return writeFailure(kLogFile, "cannot be synced");
  }
  if (!files_.syncFolder()) {
    return writeFailure("data folder", "cannot be synced");
  }
  return std::nullopt;
}

std::string RaftStorage::writeFailure(const char* file, const char* what) {
  write_failed_ = true;
  return std::string(file) + ": " + what;
}

std::optional<std::string> RaftStorage::openIdentity(NodeId fresh_id) {
  std::optional<Identity> identity;
  if (auto error = readRecordFile(files_, kIdentityFile, identity)) {
    return error;
  }
  if (identity) {
    id_ = identity->id;
    return std::nullopt;
  }
  const bool has_other_files =
      files_.read(kHardStateFile) || files_.read(kSnapshotFile) || files_.read(kLogFile);
  if (has_other_files) {
    return std::string(kIdentityFile) +
           ": missing, but the folder holds other state; wipe the "
           "folder and add this member anew";
  }
  id_ = fresh_id;
  if (!replaceRecord(files_, kIdentityFile, Identity{fresh_id})) {
    return writeFailure(kIdentityFile, "cannot be written");
  }
  return std::nullopt;
}

std::optional<std::string> RaftStorage::openLog() {
  const std::string bytes = files_.read(kLogFile).value_or("");
  std::size_t offset = 0;
  std::vector<LogEntry> entries;
  while (offset < bytes.size()) {
    const DecodedRecord record = decodeRecord(bytes, offset);
    std::optional<LogEntry> entry;
    if (record.state == RecordState::kIntact) {
      entry = decode<LogEntry>(record.payload);
    }
    const bool in_order = entry && (entries.empty() || entry->index == entries.back().index + 1);
    if (!in_order) {
      if (record.state != RecordState::kIntact && isTornTail(bytes, offset, record)) {
        break;
      }
      return std::string(kLogFile) + ": damaged at byte " + std::to_string(offset) + " of " +
             std::to_string(bytes.size()) + "; wipe this member's data folder and add it anew";
    }
    offsets_.push_back(offset);
    entries.push_back(std::move(*entry));
    offset = record.end;
  }
  log_bytes_ = offset;
  if (offset < bytes.size() && !(files_.truncate(kLogFile, offset) && files_.sync(kLogFile))) {
    return writeFailure(kLogFile, "cannot truncate the torn record");
  }
  first_index_ = entries.empty() ? recovery_.snapshot.index + 1 : entries.front().index;
  if (first_index_ > recovery_.snapshot.index + 1) {
    return std::string(kLogFile) + ": entries after the snapshot are missing";
  }
  return recoverEntries(std::move(entries));
}

// Recovers the entries after the snapshot. A crash between replacing the snapshot and rewriting the
// log leaves entries that the snapshot covers; these are dropped, and so are all entries of a log
// that conflicts with the snapshot.
std::optional<std::string> RaftStorage::recoverEntries(std::vector<LogEntry> entries) {
  const Snapshot& snapshot = recovery_.snapshot;
  const bool overlaps = !entries.empty() && entries.front().index <= snapshot.index;
  bool contradicts = overlaps && entries.back().index < snapshot.index;
  for (LogEntry& entry : entries) {
    contradicts = contradicts || (entry.index == snapshot.index && entry.term != snapshot.term);
    if (entry.index > snapshot.index && !contradicts) {
      recovery_.entries.push_back(std::move(entry));
    }
  }
  if (contradicts) {
    offsets_.clear();
  }
  if (overlaps && !rewriteLog(snapshot.index)) {
    return writeFailure(kLogFile, "cannot be rewritten after the snapshot");
  }
  return std::nullopt;
}

bool RaftStorage::persist(const RaftReady& ready) {
  if (ready.hard_state && !replaceRecord(files_, kHardStateFile, *ready.hard_state)) {
    return false;
  }
  if (ready.install_snapshot) {
    offsets_.clear();  // The leader's snapshot replaces the whole log.
    if (!saveSnapshot(*ready.install_snapshot)) {
      return false;
    }
  }
  if (ready.truncate_from && !truncateFrom(*ready.truncate_from)) {
    return false;
  }
  if (!ready.append.empty() && !appendEntries(ready.append)) {
    return false;
  }
  if (ready.truncate_from || !ready.append.empty()) {
    syncs_ += 1;
    return files_.sync(kLogFile);
  }
  return true;
}

bool RaftStorage::truncateFrom(LogIndex index) {
  if (index < first_index_ || index - first_index_ >= offsets_.size()) {
    return true;
  }
  const std::size_t position = index - first_index_;
  log_bytes_ = offsets_[position];
  offsets_.resize(position);
  return files_.truncate(kLogFile, log_bytes_);
}

bool RaftStorage::appendEntries(const std::vector<LogEntry>& entries) {
  std::string bytes;
  if (offsets_.empty()) {
    first_index_ = entries.front().index;
  }
  for (const LogEntry& entry : entries) {
    offsets_.push_back(log_bytes_ + bytes.size());
    bytes += encodeRecord(encode(entry));
  }
  log_bytes_ += bytes.size();
  return files_.append(kLogFile, bytes);
}

bool RaftStorage::saveSnapshot(const Snapshot& snapshot) {
  const std::string bytes = encodeRecord(encode(snapshot));
  snapshot_bytes_ = bytes.size();
  return replaceFile(files_, kSnapshotFile, bytes) && rewriteLog(snapshot.index);
}

// Rewrites the log file with only the records after index `after`. The log becomes empty if it does
// not reach that index.
bool RaftStorage::rewriteLog(LogIndex after) {
  const LogIndex last = first_index_ + offsets_.size();  // One past the last record.
  std::string kept;
  if (after + 1 < last && after + 1 >= first_index_) {
    const std::size_t position = after + 1 - first_index_;
    const std::size_t start = offsets_[position];
    const std::string bytes = files_.read(kLogFile).value_or("");
    kept = bytes.substr(start, log_bytes_ - start);
    offsets_.erase(offsets_.begin(), offsets_.begin() + static_cast<std::ptrdiff_t>(position));
    for (std::size_t& offset : offsets_) {
      offset -= start;
    }
  } else {
    offsets_.clear();
  }
  first_index_ = after + 1;
  log_bytes_ = kept.size();
  return replaceFile(files_, kLogFile, kept);
}

}  // namespace ramppond
