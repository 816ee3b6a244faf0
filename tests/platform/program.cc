#include "tests/platform/program.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace ramppond::fake_platform {

Program::Program(const std::string& program, const std::string& settings,
                 const std::string& output) {
  process_ = ::fork();
  if (process_ != 0) {
    return;
  }
  const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  // Otherwise a program that starts later keeps the listening sockets of servers that have ended.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
  ::_exit(127);
}

Program::~Program() {
  if (running()) {
    signal(SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
}

void Program::signal(int number) const {
  ::kill(process_, number);
}

void Program::failDiskWrites() const {
  rlimit limit = {};
  ::prlimit(process_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = 0;
  ::prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
}

void Program::restoreDiskWrites() const {
  rlimit limit = {};
  ::prlimit(process_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
}

std::size_t Program::peakMemoryKib() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

double Program::processorSeconds() const {
  std::ifstream stat("/proc/" + std::to_string(process_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  // The second field is the program's name in brackets; user and system time are fields 14 and 15.
  std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
  constexpr int kFieldsBefore = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBefore; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

bool Program::running() {
  if (process_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) {
    return true;
  }
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  process_ = 0;
  return false;
}

}  // namespace ramppond::fake_platform
