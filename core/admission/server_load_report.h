// The report of a server on its load and on its machine, as one message of the server carries it.
//
// The platform's adapter parses it (core/external/external_api.h); core/admission/machine_slowdown
// uses it. Stateless and thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ramppond {

/// Bounds of a report; the adapter treats values beyond them as unreadable.
constexpr std::uint32_t max_reported_count = 1'000'000;
constexpr std::uint32_t min_reported_slowdown_percent = 1;
constexpr std::uint32_t max_reported_slowdown_percent = 100'000;

struct server_load_report {
  std::uint32_t running = 0;  ///< Requests that the server works on.
  std::uint32_t waiting = 0;  ///< Requests that wait in the server.
  std::uint32_t slots = 0;
  /// Present duration of work on the server's machine in percent of the usual duration. Servers
  /// that do not measure it leave it out.
  std::optional<std::uint32_t> slowdown_percent = std::nullopt;
};

/// The message carries no report.
struct no_load_report {};

/// The message carries a report that cannot be parsed or is out of bounds; it is ignored.
struct unreadable_load_report {
  std::string reason;
};

using named_server_load = std::variant<no_load_report, server_load_report, unreadable_load_report>;

}  // namespace ramppond
