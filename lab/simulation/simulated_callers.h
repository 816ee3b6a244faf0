// Callers in virtual time: open loop, hard or obedient retries, repeated lookups.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/load_generator.h"
#include "lab/simulation/simulated_daemon.h"
#include "lab/simulation/world.h"

namespace ramppond {

struct CallerOptions {
  double rate = 100;  ///< Front requests per second.
  ClientRetry retry = ClientRetry::kObey;
  std::uint32_t maximum_retries = 3;
};

class SimulatedCallers {
 public:
  SimulatedCallers(World& world, std::vector<SimulatedDaemon*> daemons, CallerOptions options);

  void start();
  /// No new front requests from now on.
  void stop() { stopped_ = true; }
  void setRate(double rate) { options_.rate = rate; }
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  struct Request {
    const WorkSpec* work = nullptr;
    const ClassSpec* caller_class = nullptr;
    std::string key;
    std::uint64_t number = 0;
    std::uint32_t attempt = 0;
    std::string nonce;      ///< Of the present attempt.
    bool answered = false;  ///< The present attempt.
    ExchangeNumber exchange = 0;
  };
  using RequestPointer = std::shared_ptr<Request>;

  void scheduleNext();
  void offer(const WorkSpec& work, const ClassSpec* caller_class);
  void sendAttempt(const RequestPointer& request);
  void onAnswer(const RequestPointer& request, std::uint32_t attempt, const CallAnswer& answer);
  void onNoAnswer(const RequestPointer& request, std::uint32_t attempt, bool never_sent);
  void conclude(const RequestPointer& request, const CallAnswer& answer, const std::string& error);
  void retryOrEnd(const RequestPointer& request, const CallAnswer& answer);
  const WorkSpec& chooseWork();
  const ClassSpec* chooseClass();

  World& world_;
  std::vector<SimulatedDaemon*> daemons_;
  CallerOptions options_;
  NodeNumber node_;
  bool stopped_ = false;
  std::uint64_t next_number_ = 1;
  std::size_t open_ = 0;
};

}  // namespace ramppond
