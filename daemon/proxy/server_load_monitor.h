// Obtains the local server's reports on its load: from its responses and, while these are too few,
// from its health path.
//
// The health path is queried by GET on a connection of its own, beside the admission and the
// connections for requests: a query takes no slot, and its failure is no failure of the server.
// When to query is decided by core/admission/machine_slowdown, and only servers that report a
// slowdown are queried. Relies on an own_server and an adapter that outlive it. Used on the event
// loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/external/external_api.h"
#include "core/feature_mode.h"
#include "daemon/proxy/own_server.h"
#include "net/stream/http_client.h"

namespace ramppond {

class server_load_monitor {
 public:
  server_load_monitor(EventLoop& loop, const ExternalApi& api, own_server& server,
                      const Endpoint& server_address, feature_mode mode);
  ~server_load_monitor();
  server_load_monitor(const server_load_monitor&) = delete;
  auto operator=(const server_load_monitor&) -> server_load_monitor& = delete;

  /// The server's `incarnation` sent a response with this head.
  void on_response(const std::string& incarnation, const HttpHead& head);
  /// A request was offered to the server's admission. Starts the queries if they are needed.
  void on_offered();
  /// Call about once a second.
  void sweep() { this->pool.sweep(); }
  /// Logs the event `server_load` if anything was counted since its last line and the part is
  /// active. Its condition here: the server reports a slowdown, or sent an unreadable report since
  /// the last line. Call whenever the counters are logged.
  void log_use();

 private:
  class query;
  struct use_counters {
    std::uint64_t reports = 0;  // with a slowdown
    std::uint64_t unreadable = 0;
    std::uint64_t queries = 0;
    std::uint64_t failed_queries = 0;  // without an answer in time
    [[nodiscard]] auto sum() const -> std::uint64_t {
      return this->reports + this->unreadable + this->queries + this->failed_queries;
    }
  };

  void record(const std::string& incarnation, const named_server_load& reported);
  /// Whether requests run at the server or wait for it.
  [[nodiscard]] auto is_in_use() const -> bool;
  /// When a query is due; std::nullopt if none is needed or possible.
  [[nodiscard]] auto next_query() const -> std::optional<TimePoint>;
  /// Sets the timer for the next query unless it is set.
  void schedule();
  void on_due();
  void send_query();
  void end_query(bool answered);

  const ExternalApi& api;
  own_server& server;
  feature_mode mode;
  HttpClientPool pool;
  LoopTimer due_timer;
  LoopTimer timeout_timer;
  bool scheduled = false;
  std::shared_ptr<query> last_query;         // kept alive here, since the pool does not own it
  std::shared_ptr<ClientExchange> exchange;  // of a query in flight
  use_counters counters;
  use_counters logged;            // counters as of the last log line
  std::string unreadable_reason;  // of the last unreadable report
};

}  // namespace ramppond
