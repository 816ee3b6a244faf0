#include "lab/simulation/memory_file_system.h"

namespace ramppond {

bool MemoryFileSystem::allowed() {
  operations_ += 1;
  if (failed_) {
    return false;
  }
  if (fail_after_ && (*fail_after_)-- == 0) {
    failed_ = true;
    return false;
  }
  return true;
}

MemoryFileSystem::File& MemoryFileSystem::open(const std::string& name) {
  File& file = files_[name];
  if (file.inode == 0) {
    file.inode = next_inode_++;
  }
  return file;
}

std::optional<std::string> MemoryFileSystem::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) {
    return std::nullopt;
  }
  return found->second.contents;
}

bool MemoryFileSystem::write(const std::string& name, const std::string& bytes) {
  if (!allowed()) {
    return false;
  }
  File& file = open(name);
  file.contents = bytes;
  file.synced.clear();
  return true;
}

bool MemoryFileSystem::append(const std::string& name, const std::string& bytes) {
  if (!allowed()) {
    if (random_.chance(0.5)) {
      open(name).contents += bytes.substr(0, random_.below(bytes.size() + 1));
    }
    return false;
  }
  open(name).contents += bytes;
  return true;
}

bool MemoryFileSystem::truncate(const std::string& name, std::size_t size) {
  if (!allowed()) {
    return false;
  }
  open(name).contents.resize(size);
  return true;
}

bool MemoryFileSystem::sync(const std::string& name) {
  if (!allowed()) {
    return false;
  }
  File& file = open(name);
  file.synced = file.contents;
  // A file's own sync also makes its creation durable here, as on the usual journalled systems;
  // a rename is durable only after the folder's sync.
  durable_names_[name] = file;
  return true;
}

bool MemoryFileSystem::rename(const std::string& from, const std::string& to) {
  if (!allowed() || files_.count(from) == 0) {
    return false;
  }
  files_[to] = files_[from];
  files_.erase(from);
  return true;
}

bool MemoryFileSystem::syncFolder() {
  if (!allowed()) {
    return false;
  }
  durable_names_ = files_;
  return true;
}

void MemoryFileSystem::crash() {
  std::map<std::string, File> left;
  // Whether a rename that was not synced survives is the file system's choice.
  const bool renames_survive = random_.chance(0.5);
  for (const auto& [name, file] : renames_survive ? files_ : durable_names_) {
    const auto current = files_.find(name);
    const bool same_file = current != files_.end() && current->second.inode == file.inode;
    const File& newest = same_file ? current->second : file;
    const std::string& synced = newest.synced;
    File kept;
    kept.inode = newest.inode;
    kept.contents = synced;
    const bool appended = newest.contents.size() > synced.size() &&
                          newest.contents.compare(0, synced.size(), synced) == 0;
    if (appended) {
      const std::string unsynced = newest.contents.substr(synced.size());
      const std::size_t written = random_.below(unsynced.size() + 1);
      kept.contents += unsynced.substr(0, written);
      if (random_.chance(0.3)) {
        kept.contents.append(unsynced.size() - written, '\0');
      }
    }
    kept.synced = kept.contents;
    left[name] = std::move(kept);
  }
  files_ = left;
  durable_names_ = std::move(left);
  failed_ = false;
  fail_after_.reset();
}

void MemoryFileSystem::wipe() {
  files_.clear();
  durable_names_.clear();
  failed_ = false;
  fail_after_.reset();
}

void MemoryFileSystem::flipByte(const std::string& name, std::size_t offset) {
  std::string& contents = files_[name].contents;
  if (offset < contents.size()) {
    contents[offset] = static_cast<char>(contents[offset] ^ 0x40);
  }
}

std::size_t MemoryFileSystem::sizeOf(const std::string& name) const {
  const auto found = files_.find(name);
  return found == files_.end() ? 0 : found->second.contents.size();
}

}  // namespace ramppond
