// Decides when a control member replaces its log with a snapshot.
//
// A member applies its whole log at startup before it can serve, and an entry
// may hold a whole configuration. The log is therefore bounded both in entries
// and in bytes. The byte limit is a multiple of the snapshot's size, so that
// the cost of snapshots stays a fixed share of the cost of the log (Raft paper,
// section 7). Pure, not thread safe.
#pragma once

#include <cstdint>

#include "core/byte_count.h"

namespace ramppond {

struct snapshot_limits {
  /// Maximum number of entries applied since the last snapshot.
  std::uint64_t entries = 20000;
  /// Maximum size of these entries as a multiple of the last snapshot's size;
  /// 0 for no limit.
  std::uint64_t max_log_ratio = 0;
};

class snapshot_policy {
 public:
  explicit snapshot_policy(snapshot_limits limits) : limits(limits) {}

  void on_applied(byte_count entry) {
    ++this->entries;
    this->log.value += entry.value;
  }

  /// A snapshot of this size has replaced all applied entries.
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
