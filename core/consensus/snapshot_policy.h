// When a member of the control group replaces its log by a snapshot.
//
// A member that starts applies its whole log before it can serve, and an entry
// may hold a whole configuration. The log is therefore bounded not only in
// entries but in bytes, as a multiple of the snapshot that replaces it: the
// cost of snapshots stays a fixed share of the cost of the log (Raft paper,
// section 7). Pure, not thread safe.
#pragma once

#include <cstdint>

namespace ramppond {

/// A size in bytes.
struct byte_count {
  std::uint64_t value = 0;
};

struct snapshot_limits {
  /// Entries applied since the last snapshot, at most.
  std::uint64_t entries = 20000;
  /// Their bytes, at most, as a multiple of the last snapshot's; 0 for no limit.
  std::uint64_t max_log_ratio = 0;
};

class snapshot_policy {
 public:
  explicit snapshot_policy(snapshot_limits limits) : limits(limits) {}

  void on_applied(byte_count entry) {
    ++this->entries;
    this->log.value += entry.value;
  }

  /// A snapshot of this size now stands for all that was applied.
  void on_snapshot(byte_count size) {
    this->entries = 0;
    this->log = byte_count();
    this->snapshot = size;
  }

  [[nodiscard]] auto is_due() const -> bool;

 private:
  snapshot_limits limits;
  std::uint64_t entries = 0;
  byte_count log;
  byte_count snapshot;
};

}  // namespace ramppond
