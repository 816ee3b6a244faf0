// A program under test as a child process, with what its tests do to it and read of it.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace ramppond::fake_platform {

/// Whether the peak memory of a program tells what it needs. The address sanitizer holds freed
/// memory back, up to 256 MB of it.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsMeasurable = false;
#else
constexpr bool kMemoryIsMeasurable = true;
#endif

/// A child process; killed by the destructor.
class Program {
 public:
  Program(const std::string& program, const std::string& settings, const std::string& output);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void signal(int number) const;
  /// Returns whether the process still runs. Once it has ended, exitStatus() is valid.
  bool running();
  /// Makes all further writes to files fail, by a file size limit of zero.
  void failDiskWrites() const;
  /// Lifts the limit set by failDiskWrites().
  void restoreDiskWrites() const;
  /// Peak resident memory in KiB.
  [[nodiscard]] std::size_t peakMemoryKib() const;
  /// Processor time used so far.
  [[nodiscard]] double processorSeconds() const;
  [[nodiscard]] int exitStatus() const { return exit_status_; }

 private:
  pid_t process_ = 0;
  int exit_status_ = -1;
};

}  // namespace ramppond::fake_platform
