// The file operations that RaftStorage needs, behind an interface so that tests and the simulator
// can inject a crash between any two of them. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace ramppond {

/// The files of one data folder, addressed by plain name. Every operation returns false on an
/// error. The caller must then stop using the files, because the contents on disk are no longer
/// known.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Returns the contents of the file, or std::nullopt if it does not exist.
  virtual std::optional<std::string> read(const std::string& name) = 0;
  /// Creates the file or truncates it to zero bytes, then writes `bytes`.
  virtual bool write(const std::string& name, const std::string& bytes) = 0;
  virtual bool append(const std::string& name, const std::string& bytes) = 0;
  virtual bool truncate(const std::string& name, std::size_t size) = 0;
  /// Makes the file's contents durable (fsync(2)).
  virtual bool sync(const std::string& name) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  /// Makes creations and renames durable.
  virtual bool syncFolder() = 0;
};

/// Replaces a file atomically: after a crash it has either the old or the new contents. Writes a
/// temporary file, syncs it, renames it and syncs the folder.
bool replaceFile(FileSystem& files, const std::string& name, const std::string& bytes);

/// Implements FileSystem on a folder of the operating system. Holds a lock on the folder, so that
/// two processes never share it.
class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(std::string folder);
  ~PosixFileSystem() override;
  /// Creates the folder if it is missing and locks it. Returns the reason on failure, else
  /// std::nullopt.
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
