// What the reports of a server say about it at present; used by all placement policies.
//
// Input: a KnownInstance and the current time (microseconds). Output: estimates, or "unknown" where
// the last report is too old. Stateless functions. Thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/placement/known_instance.h"
#include "core/time.h"

namespace ramppond {

/// Lifetime of a load report. With a longer one, a server that was slow gets no request that could
/// show its recovery; with a shorter one, little is known about servers that get few requests.
constexpr Duration load_report_valid = seconds(2);

/// Requests per second. Lower named rates count as this.
constexpr double minimum_named_rate = 0.25;

[[nodiscard]] auto has_recent_load(const KnownInstance& instance, TimePoint now) -> bool;

/// std::nullopt if the service time was never reported or too long ago.
[[nodiscard]] auto recent_service_time(const KnownInstance& instance, const std::string& route,
                                       TimePoint now) -> std::optional<Duration>;

/// The same without the slowdown of the machine that the reported time includes, in microseconds.
[[nodiscard]] auto recent_usual_service_us(const KnownInstance& instance, const std::string& route,
                                           TimePoint now) -> std::optional<double>;

/// Number of slots: as reported, else as recorded, else an assumed minimum.
[[nodiscard]] auto slots_of(const KnownInstance& instance) -> double;

/// Requests in flight and waiting at the server: as reported plus own requests sent since.
[[nodiscard]] auto requests_at(const KnownInstance& instance) -> double;

/// Share of the named rate in use including the next request; 0 if the server names none.
[[nodiscard]] auto rate_utilization(const KnownInstance& instance, TimePoint now) -> double;

/// Lower median of the failed shares (thousandths) in recent reports of the candidates; 0 if there
/// is no recent report. `reused`: only to reuse its memory.
[[nodiscard]] auto median_failed_permille(const std::vector<KnownInstance*>& candidates,
                                          TimePoint now, std::vector<std::uint32_t>& reused)
    -> std::uint32_t;

/// Cost factor for the share of failed requests above the median of the service. The median
/// excludes failures that are common to all servers, such as failures of calls that they make.
[[nodiscard]] auto failure_factor(const KnownInstance& instance, std::uint32_t median_permille,
                                  TimePoint now) -> double;

[[nodiscard]] auto is_unreachable(const KnownInstance& instance, TimePoint now) -> bool;

}  // namespace ramppond
