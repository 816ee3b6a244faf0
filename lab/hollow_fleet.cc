#include "lab/hollow_fleet.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "common/process.h"
#include "core/control_session.h"
#include "net/control_protocol.h"

namespace ramppond {
namespace {

constexpr std::size_t kSessionsPerShard = 400;
constexpr auto kTickInterval = std::chrono::milliseconds(50);

}  // namespace

std::vector<ServerInfo> makeServerList(std::size_t count, std::size_t services, std::size_t zones) {
  std::vector<ServerInfo> servers;
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t service = index % services;
    ServerInfo info;
    info.service = "service-" + std::to_string(service);
    info.name = info.service + "-" + std::to_string(index / services);
    info.zone = "zone-" + std::to_string(index / services % zones);
    info.peer_address = "10." + std::to_string(index / 65536) + "." +
                        std::to_string(index / 256 % 256) + "." + std::to_string(index % 256) +
                        ":7001";
    servers.push_back(std::move(info));
  }
  return servers;
}

class HollowFleet::Shard {
 public:
  Shard(const HollowOptions& options, std::size_t first, std::size_t count)
      : options_(options), random_(options.random_seed + first), client_(clientOptions(count)) {
    for (std::size_t index = first; index < first + count; ++index) {
      Daemon daemon;
      daemon.server = &options_.servers[index];
      daemons_.push_back(std::move(daemon));
      startSession(daemons_.back());
    }
    ticker_ = std::thread([this] { run(); });
  }
  ~Shard() {
    stopping_ = true;
    ticker_.join();
  }

  void restart(std::size_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t index = 0; index < std::min(count, daemons_.size()); ++index) {
      startSession(daemons_[index]);
    }
  }

  struct Figures {
    std::uint64_t daemons = 0;
    std::uint64_t confirmed = 0;
    std::uint64_t complete = 0;  ///< Confirmed, and with the servers of every interest.
    std::uint64_t polls = 0;
    std::uint64_t poll_failures = 0;
    std::int64_t oldest_contact_us = INT64_MAX;
    std::uint64_t lowest_index = UINT64_MAX;
    HttpTraffic traffic;
  };
  void addFigures(Figures& figures) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Daemon& daemon : daemons_) {
      const bool confirmed = !daemon.session->stale();
      figures.daemons += 1;
      figures.confirmed += confirmed ? 1 : 0;
      figures.complete += confirmed && daemon.known.size() >= daemon.interests.size() ? 1 : 0;
      figures.polls += daemon.session->counters().polls;
      figures.poll_failures += daemon.session->counters().poll_failures;
      figures.oldest_contact_us = std::min(figures.oldest_contact_us, daemon.last_contact.count());
      figures.lowest_index =
          std::min(figures.lowest_index, daemon.session->configuration().version.index);
    }
    const HttpTraffic traffic = client_.traffic();
    figures.traffic.sent_bytes += traffic.sent_bytes;
    figures.traffic.received_bytes += traffic.received_bytes;
  }

  void addVersions(std::map<std::uint64_t, std::vector<std::int64_t>>& versions) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [index, times] : versions_) {
      auto& all = versions[index];
      all.insert(all.end(), times.begin(), times.end());
    }
  }

 private:
  struct Daemon {
    const ServerInfo* server = nullptr;
    std::unique_ptr<ControlSession> session;
    std::uint64_t generation = 0;  ///< Replies to an earlier incarnation are dropped.
    std::set<std::string> interests;
    std::set<std::string> known;  ///< Interests whose servers have arrived.
    TimePoint last_contact{0};
  };

  static HttpClientOptions clientOptions(std::size_t count) {
    HttpClientOptions options;
    options.connections_per_host = count + 1;
    return options;
  }

  void startSession(Daemon& daemon) {
    ControlSessionOptions session;
    session.server = daemon.server->name;
    session.zone = daemon.server->zone;
    session.incarnation = random_.next();
    session.started_ms = wallClockMs();
    session.control_addresses = options_.control_addresses;
    session.random_seed = random_.next();
    daemon.session = std::make_unique<ControlSession>(session);
    daemon.generation += 1;
    daemon.interests.clear();
    daemon.known.clear();
    for (std::size_t interest = 0; interest < options_.interests_per_daemon; ++interest) {
      const std::size_t position = random_.below(options_.servers.size());
      daemon.interests.insert(options_.servers[position].service);
      daemon.session->addInterest(options_.servers[position].service);
    }
  }

  void run() {
    while (!stopping_) {
      std::this_thread::sleep_for(kTickInterval);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (std::size_t index = 0; index < daemons_.size(); ++index) {
        DaemonActions actions;
        daemons_[index].session->tick(monotonicNow(), actions);
        perform(index, actions);
      }
    }
  }

  void perform(std::size_t index, const DaemonActions& actions) {
    const std::uint64_t generation = daemons_[index].generation;
    for (const DaemonAction& action : actions) {
      const auto* send = std::get_if<SendToControl>(&action);
      if (send == nullptr) {
        continue;  // A hollow daemon has no disk.
      }
      sendControlRequest(client_, send->address, send->request, send->timeout,
                         [this, index, generation,
                          request_id = send->request_id](const std::optional<ControlReply>& reply) {
                           onReply(index, generation, request_id, reply);
                         });
    }
  }

  void onReply(std::size_t index, std::uint64_t generation, std::uint64_t request_id,
               const std::optional<ControlReply>& reply) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Daemon& daemon = daemons_[index];
    if (daemon.generation != generation) {
      return;
    }
    const TimePoint now = monotonicNow();
    DaemonActions actions;
    daemon.session->onReply(request_id, reply, now, actions);
    daemon.last_contact = reply && reply->authoritative ? now : daemon.last_contact;
    for (const ServiceServers& update : daemon.session->takeServers()) {
      daemon.known.insert(update.service);
    }
    if (daemon.session->takeConfigurationChanged()) {
      versions_[daemon.session->configuration().version.index].push_back(now.count());
    }
    daemon.session->tick(now, actions);
    perform(index, actions);
  }

  const HollowOptions& options_;
  mutable std::mutex mutex_;
  Random random_;
  std::vector<Daemon> daemons_;
  std::map<std::uint64_t, std::vector<std::int64_t>> versions_;
  std::atomic<bool> stopping_{false};
  std::thread ticker_;
  HttpClient client_;  ///< Last, so that no callback outlives the rest.
};

HollowFleet::HollowFleet(HollowOptions options) : options_(std::move(options)) {
  for (std::size_t done = 0; done < options_.count; done += kSessionsPerShard) {
    const std::size_t count = std::min(kSessionsPerShard, options_.count - done);
    shards_.push_back(std::make_unique<Shard>(options_, options_.first + done, count));
  }
}

HollowFleet::~HollowFleet() = default;

void HollowFleet::restart(std::size_t count) {
  for (const auto& shard : shards_) {
    shard->restart(std::min(count, kSessionsPerShard));
    count -= std::min(count, kSessionsPerShard);
  }
}

std::string HollowFleet::versionsJson() const {
  std::map<std::uint64_t, std::vector<std::int64_t>> versions;
  for (const auto& shard : shards_) {
    shard->addVersions(versions);
  }
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [index, times] : versions) {
    json[std::to_string(index)] = times;
  }
  return json.dump();
}

MetricsPage HollowFleet::metrics() const {
  Shard::Figures figures;
  for (const auto& shard : shards_) {
    shard->addFigures(figures);
  }
  MetricsPage page;
  page.gauge("hollow_daemons", "Daemons here.", static_cast<double>(figures.daemons));
  page.gauge("hollow_confirmed", "Daemons with a confirmed configuration.",
             static_cast<double>(figures.confirmed));
  page.gauge("hollow_complete", "Confirmed, and with all servers they asked for.",
             static_cast<double>(figures.complete));
  page.gauge("hollow_oldest_contact_us", "Least recent answer that a daemon got, monotonic.",
             static_cast<double>(figures.oldest_contact_us));
  page.gauge("hollow_lowest_index", "Oldest version in force.",
             static_cast<double>(figures.lowest_index));
  page.counter("hollow_polls_total", "Polls sent.", figures.polls);
  page.counter("hollow_poll_failures_total", "Polls without an answer.", figures.poll_failures);
  page.counter("hollow_sent_bytes_total", "HTTP bytes sent.", figures.traffic.sent_bytes);
  page.counter("hollow_received_bytes_total", "HTTP bytes received.",
               figures.traffic.received_bytes);
  page.addProcessMetrics();
  return page;
}

}  // namespace ramppond
