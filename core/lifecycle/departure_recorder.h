// Decides when a proxy may act on the reports of its server and acknowledge that it is leaving.
//
// An acknowledged departure is binding: the server must get no new requests, even if the proxy is
// restarted and a heartbeat arrives late. A proxy has no disk, so it acknowledges a departure only
// once the control group has stored it, and a new process reads the stored departures before it
// processes a report.
//
// Input: the departures that LocalServer announces, and the results of calls to the control group
// (times in microseconds). Output: the next call, and for each report whether it is processed,
// acknowledged or refused. Owns the departures that are not stored yet. No I/O; not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/distribution/server_departure.h"
#include "core/time.h"

namespace ramppond {

/// Calls to the leader of the control group.
struct read_departures {
  departure_query query;
};
struct store_departures {
  departure_batch batch;
};
using departure_call = std::variant<read_departures, store_departures>;

/// How a call to the control group has ended.
enum class departure_result : std::uint8_t {
  done = 0,
  unsupported,  ///< The control group is of an earlier version and stores no departures.
  failed,       ///< No answer, or not from the leader. The call may have taken effect.
};

/// Whether a report that announces a departure is acknowledged.
enum class report_verdict : std::uint8_t {
  acknowledge = 0,
  wait,    ///< The departure is not stored yet.
  refuse,  ///< It was not stored in time. The server reports again, or ends without.
};

class departure_recorder {
 public:
  /// `proxy_address` identifies this proxy. `started` is the start of its process.
  departure_recorder(std::string proxy_address, TimePoint started)
      : proxy_address(std::move(proxy_address)), started(started) {}

  /// Whether reports of the server may be processed: the departures that a former process has
  /// acknowledged are known, or the control group has not answered in time.
  [[nodiscard]] auto may_process_reports(TimePoint now) const -> bool;
  /// Whether the stored departures have been read.
  [[nodiscard]] auto is_restored() const -> bool { return this->restored; }

  /// Whether so many departures wait to be stored that a report with another one must be refused.
  [[nodiscard]] auto is_full() const -> bool;
  /// Adds a departure to be stored. Its proxy_address is filled in.
  void announce(server_departure departure);
  /// Identifies the departures that were announced so far, for verdict().
  [[nodiscard]] auto last_announced() const -> std::uint64_t { return this->announced; }
  /// Returns the verdict on a report that was received at `received` and announced departures up
  /// to `last_announced`.
  [[nodiscard]] auto verdict(std::uint64_t last_announced, TimePoint received, TimePoint now) const
      -> report_verdict;
  /// Whether a call to the control group is in flight or will become due.
  [[nodiscard]] auto has_work() const -> bool { return !this->restored || !this->pending.empty(); }

  /// Returns the call that is due. At most one is in flight, until on_result().
  auto take_call(TimePoint now) -> std::optional<departure_call>;
  /// The call in flight has ended.
  void on_result(departure_result result, TimePoint now);

 private:
  struct pending_departure {
    server_departure departure;
    std::uint64_t number = 0;  // value of `announced` when it was first announced
  };
  void on_stored(const departure_batch& batch);

  std::string proxy_address;
  TimePoint started;
  bool restored = false;
  std::uint64_t announced = 0;
  std::map<std::string, pending_departure> pending;  // by incarnation of the server
  std::optional<departure_call> in_flight;
  TimePoint next_call{0};
};

}  // namespace ramppond
