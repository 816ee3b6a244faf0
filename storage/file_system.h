// The few file operations that the storage needs, so that tests and the simulator can crash between
// any two of them.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace ramppond {

/// Files of one data folder, by plain name. Every operation returns false on an error, after
/// which the caller must stop: what is on disk is no longer known.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// The whole file; nothing if there is none.
  virtual std::optional<std::string> read(const std::string& name) = 0;
  /// Creates or empties the file and writes `bytes`.
  virtual bool write(const std::string& name, const std::string& bytes) = 0;
  virtual bool append(const std::string& name, const std::string& bytes) = 0;
  virtual bool truncate(const std::string& name, std::size_t size) = 0;
  /// Makes the file's contents durable (fsync(2)).
  virtual bool sync(const std::string& name) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  /// Makes creations and renames durable.
  virtual bool syncFolder() = 0;
};

/// Replaces a file so that a crash leaves either the old or the new contents: write, fsync,
/// rename, fsync of the folder.
bool replaceFile(FileSystem& files, const std::string& name, const std::string& bytes);

/// Files of a real folder, which is created if it is missing.
class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(std::string folder);
  ~PosixFileSystem() override;
  /// Why the folder cannot be used, if it cannot.
  std::optional<std::string> prepare();

  std::optional<std::string> read(const std::string& name) override;
  bool write(const std::string& name, const std::string& bytes) override;
  bool append(const std::string& name, const std::string& bytes) override;
  bool truncate(const std::string& name, std::size_t size) override;
  bool sync(const std::string& name) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool syncFolder() override;

 private:
  int descriptor(const std::string& name);
  void closeFile(const std::string& name);
  [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
  int lock_ = -1;
  std::map<std::string, int> open_;
};

}  // namespace ramppond
