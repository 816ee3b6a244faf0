#include "core/control/departure_log.h"

#include <algorithm>

namespace ramppond {
namespace {

// Far longer than a heartbeat is delayed, or a server continues to serve after its announcement. At
// the end of this time a server that has left no longer accepts connections.
constexpr auto lifetime_ms = std::int64_t(10 * 60 * 1000);
// Maximum number of departures beside one proxy. Usually there is one; a server that keeps
// announcing other names must not evict the departures of other proxies.
constexpr auto max_beside_proxy = std::size_t(16);
// Maximum number of all departures: about 1.5 MB of a snapshot.
constexpr auto max_kept = std::size_t(16384);

}  // namespace

void departure_log::apply(const departure_batch& batch, std::int64_t leader_clock_ms) {
  for (const auto& departure : batch.departures) {
    this->put(departure, leader_clock_ms);
    this->drop_oldest_beside(departure.proxy_address);
  }
  this->drop_old(leader_clock_ms);
}

void departure_log::put(const server_departure& departure, std::int64_t when_ms) {
  const auto server = server_key(departure.proxy_address, departure.server_incarnation);
  auto& dated = this->by_server[server];
  const auto last_sequence = std::max(dated.departure.last_sequence, departure.last_sequence);
  dated = {departure, when_ms};
  dated.departure.last_sequence = last_sequence;
  this->changes.push_back({when_ms, server});
}

void departure_log::drop_oldest_beside(const std::string& proxy_address) {
  const auto first = this->by_server.lower_bound({proxy_address, ""});
  auto oldest = first;
  auto count = std::size_t(0);
  for (auto entry = first; entry != this->by_server.end() && entry->first.first == proxy_address;
       ++entry) {
    count += 1;
    oldest = entry->second.when_ms < oldest->second.when_ms ? entry : oldest;
  }
  if (count > max_beside_proxy) {
    this->by_server.erase(oldest);
  }
}

void departure_log::drop_old(std::int64_t clock_ms) {
  const auto is_superfluous = [&](const change& oldest) {
    return !this->is_latest(oldest) || this->by_server.size() > max_kept ||
           clock_ms - oldest.when_ms >= lifetime_ms;
  };
  while (!this->changes.empty() && is_superfluous(this->changes.front())) {
    if (this->is_latest(this->changes.front())) {
      this->by_server.erase(this->changes.front().server);
    }
    this->changes.pop_front();
  }
}

auto departure_log::is_latest(const change& changed) const -> bool {
  const auto found = this->by_server.find(changed.server);
  return found != this->by_server.end() && found->second.when_ms == changed.when_ms;
}

auto departure_log::departures_of(const std::string& proxy_address) const -> departure_batch {
  auto batch = departure_batch();
  for (auto entry = this->by_server.lower_bound({proxy_address, ""});
       entry != this->by_server.end() && entry->first.first == proxy_address; ++entry) {
    batch.departures.push_back(entry->second.departure);
  }
  return batch;
}

auto departure_log::snapshot() const -> std::vector<dated_departure> {
  auto departures = std::vector<dated_departure>();
  for (const auto& [server, dated] : this->by_server) {
    departures.push_back(dated);
  }
  std::stable_sort(departures.begin(), departures.end(),
                   [](const auto& a, const auto& b) { return a.when_ms < b.when_ms; });
  return departures;
}

void departure_log::restore(const std::vector<dated_departure>& departures) {
  this->by_server.clear();
  this->changes.clear();
  for (const auto& dated : departures) {
    this->put(dated.departure, dated.when_ms);
  }
}

}  // namespace ramppond
