// A data folder in memory that can lose what was not synced, and fail at a chosen operation.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/random.h"
#include "storage/file_system.h"

namespace ramppond {

class MemoryFileSystem : public FileSystem {
 public:
  explicit MemoryFileSystem(std::uint64_t random_seed) : random_(random_seed) {}

  std::optional<std::string> read(const std::string& name) override;
  bool write(const std::string& name, const std::string& bytes) override;
  bool append(const std::string& name, const std::string& bytes) override;
  bool truncate(const std::string& name, std::size_t size) override;
  bool sync(const std::string& name) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool syncFolder() override;

  /// Fails at the operation `count` operations from now; after that every operation fails until
  /// crash(). Half of the time a failing write still leaves a part of its bytes.
  void failAfter(std::uint64_t count) { fail_after_ = count; }
  /// What is left after a power failure: synced data, and of unsynced appends a random prefix,
  /// possibly padded with zeros as blocks that were never written.
  void crash();
  void wipe();
  /// Changes one byte of a file behind the owner's back.
  void flipByte(const std::string& name, std::size_t offset);
  [[nodiscard]] std::uint64_t operations() const { return operations_; }
  [[nodiscard]] std::size_t sizeOf(const std::string& name) const;

 private:
  struct File {
    std::uint64_t inode = 0;  ///< Stays with the file through renames.
    std::string contents;
    std::string synced;
  };
  bool allowed();
  File& open(const std::string& name);

  Random random_;
  std::map<std::string, File> files_;          ///< As the running process sees the folder.
  std::map<std::string, File> durable_names_;  ///< As the last folder sync left it.
  std::optional<std::uint64_t> fail_after_;
  bool failed_ = false;
  std::uint64_t operations_ = 0;
  std::uint64_t next_inode_ = 1;
};

}  // namespace ramppond
