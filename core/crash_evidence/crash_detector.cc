#include "core/crash_evidence/crash_detector.h"

#include <algorithm>

namespace ramppond {
namespace {

// The connections of a process end within 2 ms of each other (measured: 19 to
// 34 requests); a daemon whose machine is slow reads them over a longer time.
constexpr auto crash_window = milliseconds(200);
// A server that was left goes on for as long as it takes to read of it.
constexpr auto abandoned_window = milliseconds(500);
// Another instance may report itself from the address this much later.
constexpr auto loss_lifetime = seconds(30);
// As many as a server may be at work on, and some that were left.
constexpr auto most_runs = std::size_t(1024);

void make_set(std::vector<request_digest>& digests) {
  std::sort(digests.begin(), digests.end());
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
}

}  // namespace

void crash_detector::add(const lost_run& lost) {
  if (this->runs.size() >= most_runs) {
    this->runs.pop_front();
  }
  this->runs.push_back(lost);
}

void crash_detector::on_lost(const server_run& run, TimePoint now) {
  this->add({run, now, false});
}

void crash_detector::on_left(const server_run& run, TimePoint now) {
  this->add({run, now, true});
}

void crash_detector::on_alive(TimePoint begun) {
  while (!this->runs.empty() && this->runs.front().when <= begun) {
    this->runs.pop_front();
  }
}

auto crash_detector::is_pending() const -> bool {
  return std::any_of(this->runs.begin(), this->runs.end(),
                     [](const auto& r) { return !r.abandoned; });
}

auto crash_detector::on_gone(const std::string& instance_id, TimePoint now)
    -> std::optional<crashed_server> {
  auto lost_last = std::optional<TimePoint>();
  for (const auto& r : this->runs) {
    const auto counts =
        !r.abandoned && r.run.instance_id == instance_id && now - r.when < loss_lifetime;
    lost_last = counts ? std::optional(r.when) : lost_last;
  }
  if (!lost_last) {
    return std::nullopt;
  }
  auto ended = crashed_server{instance_id, {}, {}};
  for (const auto& r : this->runs) {
    const auto since =
        *lost_last - (r.abandoned ? Duration(abandoned_window) : Duration(crash_window));
    if (r.run.instance_id != instance_id || r.when < since) {
      continue;
    }
    ended.under_way.push_back(r.run.digest);
    if (r.run.isolated) {
      ended.isolated.push_back(r.run.digest);
    }
  }
  this->runs.clear();
  make_set(ended.under_way);
  make_set(ended.isolated);
  return ended;
}

}  // namespace ramppond
