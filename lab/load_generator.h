// Callers of the rig: open-loop front requests in a deployment's mix, retried like real clients.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "lab/deployment.h"

namespace ramppond {

enum class ClientRetry : std::uint8_t {
  kNone,  ///< The first answer stands.
  kObey,  ///< Comes back when Retry-After says so, up to the limit.
  kHard,  ///< Comes back at once, up to the limit.
};

/// Of the words none, obey and hard; nothing for another.
std::optional<ClientRetry> parseClientRetry(const std::string& text);

struct LoadOptions {
  std::vector<std::string> targets;  ///< Front ports, HOST:PORT, used in turn.
  double rate = 10;                  ///< Front requests per second.
  Duration duration = seconds(10);
  ClientRetry retry = ClientRetry::kObey;
  std::uint32_t maximum_retries = 3;
  std::string only_work;  ///< One work type alone; empty for the mix.
  bool direct = false;    ///< Targets are back ends: no service in the path.
  std::string history;    ///< File; empty for none.
  std::uint64_t random_seed = 1;
};

/// What callers saw of one kind of work or work type.
struct LoadRow {
  std::string work;
  std::string kind;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;  ///< A whole answer, within its deadline, to the right request.
  std::uint64_t refused = 0;    ///< Final answer not_run.
  std::uint64_t failed = 0;     ///< Anything else.
  std::uint64_t attempts = 0;
  std::uint64_t wrong_answers = 0;         ///< Another request's answer, or a part of one.
  std::vector<std::int64_t> latencies_us;  ///< Of completed ones, from the intended send time.

  [[nodiscard]] double percentileMs(double percentile) const;
};

struct LoadReport {
  std::vector<LoadRow> rows;
  double seconds = 0;
  [[nodiscard]] std::string toJson() const;
};

/// Runs one load and returns when every request has ended.
LoadReport runLoad(const Deployment& deployment, const LoadOptions& options);

/// The value at `percentile` (0 to 100) of values in any order; 0 if there are none.
double percentileOf(std::vector<std::int64_t> values, double percentile);

}  // namespace ramppond
