#include "common/process.h"

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <random>

namespace ramppond {
namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t randomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t number = (high << 32U) | device();
  return number == 0 ? 1 : number;
}

void blockStopSignals() {
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t signals = stopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

void raiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace ramppond
