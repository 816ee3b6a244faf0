#include "storage/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace ramppond {
namespace {

// Only the owner may access the files: the operator's document contains API keys of tenants.
constexpr mode_t kFileMode = 0600;

bool writeAll(int descriptor, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

bool replaceFile(FileSystem& files, const std::string& name, const std::string& bytes) {
  const std::string temporary = name + ".new";
  return files.write(temporary, bytes) && files.sync(temporary) && files.rename(temporary, name) &&
         files.syncFolder();
}

PosixFileSystem::PosixFileSystem(std::string folder) : folder_(std::move(folder)) {}

PosixFileSystem::~PosixFileSystem() {
  for (const auto& [name, descriptor] : open_) {
    ::close(descriptor);
  }
  if (lock_ >= 0) {
    ::close(lock_);
  }
}

std::optional<std::string> PosixFileSystem::prepare() {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) {
    return "cannot create " + folder_ + ": " + error.message();
  }
  lock_ = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_ < 0) {
    return "cannot open " + path("lock") + ": " + std::strerror(errno);
  }
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    return folder_ + " is in use by another process";
  }
  return std::nullopt;
}

std::optional<std::string> PosixFileSystem::read(const std::string& name) {
  std::ifstream file(path(name), std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

int PosixFileSystem::descriptor(const std::string& name) {
  const auto found = open_.find(name);
  if (found != open_.end()) {
    return found->second;
  }
  const int opened =
      ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (opened >= 0) {
    open_[name] = opened;
  }
  return opened;
}

void PosixFileSystem::closeFile(const std::string& name) {
  const auto found = open_.find(name);
  if (found != open_.end()) {
    ::close(found->second);
    open_.erase(found);
  }
}

bool PosixFileSystem::write(const std::string& name, const std::string& bytes) {
  const int file = descriptor(name);
  return file >= 0 && ::ftruncate(file, 0) == 0 && writeAll(file, bytes);
}

bool PosixFileSystem::append(const std::string& name, const std::string& bytes) {
  const int file = descriptor(name);
  return file >= 0 && writeAll(file, bytes);
}

bool PosixFileSystem::truncate(const std::string& name, std::size_t size) {
  const int file = descriptor(name);
  return file >= 0 && ::ftruncate(file, static_cast<off_t>(size)) == 0;
}

bool PosixFileSystem::sync(const std::string& name) {
  const int file = descriptor(name);
  return file >= 0 && ::fsync(file) == 0;
}

bool PosixFileSystem::rename(const std::string& from, const std::string& to) {
  closeFile(from);
  closeFile(to);
  return ::rename(path(from).c_str(), path(to).c_str()) == 0;
}

bool PosixFileSystem::syncFolder() {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return false;
  }
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

}  // namespace ramppond
