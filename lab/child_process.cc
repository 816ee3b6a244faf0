#include "lab/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace ramppond {
namespace {

constexpr int kExecFailed = 127;
constexpr int kSignalledBase = 128;
constexpr mode_t kFileMode = 0644;

int exitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalledBase + WTERMSIG(status);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ != 0) {
    return;
  }
  // Only calls that are safe after fork() in a threaded process.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execv(argv[0], argv.data());
  ::_exit(kExecFailed);
}

ChildProcess::~ChildProcess() {
  if (running()) {
    signal(SIGKILL);
    wait();
  }
}

void ChildProcess::signal(int number) const {
  if (pid_ > 0 && !status_) {
    ::kill(pid_, number);
  }
}

bool ChildProcess::running() {
  if (pid_ <= 0 || status_) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = exitCodeOf(status);
  }
  return !status_;
}

int ChildProcess::wait() {
  int status = 0;
  if (!status_ && pid_ > 0 && ::waitpid(pid_, &status, 0) == pid_) {
    status_ = exitCodeOf(status);
  }
  return status_.value_or(kExecFailed);
}

PortReservation::PortReservation() {
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(socket_, generic, size) == 0 && ::getsockname(socket_, generic, &size) == 0) {
    port_ = ntohs(address.sin_port);
  }
}

PortReservation::PortReservation(PortReservation&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), port_(other.port_) {}

PortReservation::~PortReservation() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

}  // namespace ramppond
