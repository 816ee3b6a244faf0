// Tracks how much slower than usual a server's machine currently works, as the server reports it.
//
// Input: the reports in the server's messages with their arrival (microseconds), the start and end
// of each query of its health path, and the change of its incarnation. Output: the current
// slowdown; when to query the health path next; and a clock of the work that the machine does. Owns
// the latest value. No I/O; not thread safe.
//
// The value changes many times a second, so it is used without smoothing and only for a short time.
// Estimates from completed requests alone follow a change only after the requests in flight have
// ended, and mix times of different slowdowns. Service times are therefore measured by the clock of
// work, which advances by 1/slowdown for each unit of time, and multiplied by the current slowdown.
#pragma once

#include <cstdint>
#include <optional>

#include "core/admission/server_load_report.h"
#include "core/admission/slowdown_factor.h"
#include "core/time.h"

namespace ramppond {

class machine_slowdown {
 public:
  /// Processes the report, or the lack of one, in a message of the server.
  void on_report(const named_server_load& reported, TimePoint now);
  /// Another incarnation of the server has started: its reports are not known yet.
  void on_new_incarnation(TimePoint now);

  /// The latest value while it is valid.
  [[nodiscard]] auto percent(TimePoint now) const -> std::optional<std::uint32_t>;
  /// The latest value, clamped, for estimates; 1 while it is unknown.
  [[nodiscard]] auto factor(TimePoint now) const -> slowdown_factor;
  /// Time since the latest value arrived; 0 before the first one.
  [[nodiscard]] auto age(TimePoint now) const -> Duration;
  /// Reading of the clock of work. Equals `now` until the first report. The difference between two
  /// readings is the time that the work done in between takes at usual speed.
  [[nodiscard]] auto work_clock(TimePoint now) const -> TimePoint;

  /// Whether the server's latest readable message carried a slowdown. Only such a server responds
  /// on its health path at once and without a slot.
  [[nodiscard]] auto is_reported() const -> bool { return this->reports; }
  /// When the health path is to be queried next if requests then run or wait; std::nullopt while a
  /// query is in flight and for servers that do not report a slowdown.
  [[nodiscard]] auto next_query() const -> std::optional<TimePoint>;
  void on_query_sent(TimePoint now);
  /// The query was answered, failed, or was abandoned.
  void on_query_ended() { this->query_in_flight = false; }

 private:
  struct value {
    std::uint32_t percent = 0;
    TimePoint arrived{0};
  };
  void replace(const std::optional<value>& next, TimePoint now);

  std::optional<value> latest;
  Duration lost{0};  ///< Time by which the clock of work was behind when `latest` arrived.
  bool reports = false;
  bool query_in_flight = false;
  std::optional<TimePoint> last_query;
};

}  // namespace ramppond
