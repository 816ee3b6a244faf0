#include "core/crash_evidence/crash_detector.h"

#include <algorithm>

namespace ramppond {
namespace {

// Runs that were lost up to this long before the last one belong to the same crash. If it were
// shorter, a proxy on a slow machine, which reads the ends of the connections one after another,
// would miss some; if longer, it would include requests whose connections a live server had reset.
constexpr auto crash_window = milliseconds(200);
// A server continues an abandoned request until it notices. If this were shorter, a harmful request
// with a short deadline would never be identified; if longer, harmless ones would be included.
constexpr auto abandoned_window = milliseconds(500);
// Time after a loss within which another instance may register from the address.
constexpr auto loss_lifetime = seconds(30);
// Enough for the requests in flight at a server and some that were abandoned.
constexpr auto max_runs = std::size_t(1024);

void make_set(std::vector<request_digest>& digests) {
  std::sort(digests.begin(), digests.end());
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
}

}  // namespace

void crash_detector::add(const lost_run& lost) {
  if (this->runs.size() >= max_runs) {
    this->runs.pop_front();
  }
  this->runs.push_back(lost);
}

void crash_detector::on_lost(const server_run& run, TimePoint now) {
  this->add({run, now, false});
}

void crash_detector::on_abandoned(const server_run& run, TimePoint now) {
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

auto crash_detector::last_loss(const std::string& instance_id, TimePoint now) const
    -> std::optional<TimePoint> {
  auto last = std::optional<TimePoint>();
  for (const auto& r : this->runs) {
    const auto counts =
        !r.abandoned && r.run.instance_id == instance_id && now - r.when < loss_lifetime;
    last = counts ? std::optional(r.when) : last;
  }
  return last;
}

auto crash_detector::on_gone(const std::string& instance_id, TimePoint now)
    -> std::optional<crashed_server> {
  const auto crashed_at = this->last_loss(instance_id, now);
  if (!crashed_at) {
    return std::nullopt;
  }
  auto crashed = crashed_server{instance_id, {}, {}};
  for (const auto& r : this->runs) {
    const auto window = r.abandoned ? Duration(abandoned_window) : Duration(crash_window);
    if (r.run.instance_id != instance_id || r.when < *crashed_at - window) {
      continue;
    }
    crashed.under_way.push_back(r.run.digest);
    if (r.run.isolated) {
      crashed.isolated.push_back(r.run.digest);
    }
  }
  this->runs.clear();
  make_set(crashed.under_way);
  make_set(crashed.isolated);
  return crashed;
}

}  // namespace ramppond
