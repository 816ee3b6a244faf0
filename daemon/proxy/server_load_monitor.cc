#include "daemon/proxy/server_load_monitor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "common/event_log.h"
#include "core/admission/discarded_body.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// The server responds on its health path at once. An answer that is later than this reports a
// slowdown that may have ended; with a shorter time, queries fail on a busy machine, where the
// report matters most.
constexpr auto query_timeout = milliseconds(200);
// Shortest time until a query is sent. A query that is due is often made needless by a response
// that is about to arrive; with a longer time, the value is older when it is renewed.
constexpr auto min_wait = milliseconds(5);

auto pool_options(const Endpoint& server_address) -> HttpClientOptions {
  auto options = HttpClientOptions();
  options.endpoint = server_address;
  options.connect_timeout = query_timeout;
  options.max_idle = 1;
  return options;
}

}  // namespace

/// One query of the health path.
class server_load_monitor::query : public ClientHandler {
 public:
  query(server_load_monitor& monitor, std::string incarnation)
      : monitor(monitor), incarnation(std::move(incarnation)) {}

  void onResponseHead(HttpHead head) override {
    if (head.status != kMisdirected) {  // such an answer comes from another instance
      const auto& name = this->monitor.api.headers().server_load;
      this->monitor.record(this->incarnation, this->monitor.api.parseServerLoad(head.all(name)));
    }
  }
  void onResponseBody(std::string_view data) override {
    this->received.value += data.size();
    if (!may_discard(this->received)) {
      this->monitor.end_query(false);
    }
  }
  void onResponseEnd() override { this->monitor.end_query(true); }
  void onRequestFailed(ClientFailure /*failure*/) override { this->monitor.end_query(false); }

 private:
  server_load_monitor& monitor;
  std::string incarnation;
  byte_count received;  // of the body
};

server_load_monitor::server_load_monitor(EventLoop& loop, const ExternalApi& api,
                                         own_server& server, const Endpoint& server_address,
                                         feature_mode mode)
    : api(api),
      server(server),
      mode(mode),
      pool(loop, pool_options(server_address)),
      due_timer(loop),
      timeout_timer(loop) {}

server_load_monitor::~server_load_monitor() {
  if (this->exchange != nullptr) {
    this->exchange->cancel();
  }
}

void server_load_monitor::on_response(const std::string& incarnation, const HttpHead& head) {
  if (this->mode != feature_mode::off) {
    this->record(incarnation, this->api.parseServerLoad(head.all(this->api.headers().server_load)));
  }
}

void server_load_monitor::record(const std::string& incarnation,
                                 const named_server_load& reported) {
  if (const auto* unreadable = std::get_if<unreadable_load_report>(&reported)) {
    this->counters.unreadable += 1;
    this->unreadable_reason = unreadable->reason;
  }
  const auto* report = std::get_if<server_load_report>(&reported);
  this->counters.reports += report != nullptr && report->slowdown_percent ? 1 : 0;
  this->server.on_load_report(incarnation, reported);
  this->schedule();
}

void server_load_monitor::on_offered() {
  this->schedule();
}

auto server_load_monitor::is_in_use() const -> bool {
  const auto& admission = this->server.admission();
  return admission.underWay() + admission.waiting() > 0;
}

auto server_load_monitor::next_query() const -> std::optional<TimePoint> {
  const auto next = this->server.slowdown().next_query();
  const auto is_possible = next && this->server.reports().known() && this->is_in_use() &&
                           !this->server.health_path().empty();
  return is_possible ? next : std::nullopt;
}

void server_load_monitor::schedule() {
  if (this->scheduled) {
    return;
  }
  const auto next = this->next_query();
  if (!next) {
    return;
  }
  this->scheduled = true;
  const auto wait = std::max<Duration>(*next - EventLoop::now(), min_wait);
  this->due_timer.after(wait, [this] { this->on_due(); });
}

// The value may have been renewed by a response since the timer was set.
void server_load_monitor::on_due() {
  this->scheduled = false;
  const auto next = this->next_query();
  if (next && *next <= EventLoop::now()) {
    this->send_query();
  }
  this->schedule();
}

void server_load_monitor::send_query() {
  const auto& heartbeat = this->server.reports().heartbeat();
  auto head = HttpHead();
  head.method = "GET";
  head.target = this->server.health_path();
  head.fields.push_back({"Host", this->pool.options().endpoint.toString()});
  head.fields.push_back({this->api.headers().expect_instance, heartbeat.instance_id});
  this->counters.queries += 1;
  this->server.slowdown().on_query_sent(EventLoop::now());
  this->last_query = std::make_shared<query>(*this, heartbeat.incarnation());
  this->exchange = this->pool.start(head, BodyFraming::kNone, "", true, this->last_query);
  this->timeout_timer.after(query_timeout, [this] { this->end_query(false); });
}

void server_load_monitor::end_query(bool answered) {
  this->timeout_timer.cancel();
  this->counters.failed_queries += answered ? 0 : 1;
  if (this->exchange != nullptr && !answered) {
    this->exchange->cancel();
  }
  this->exchange.reset();
  this->server.slowdown().on_query_ended();
  this->schedule();
}

void server_load_monitor::log_use() {
  const auto is_reported = this->server.slowdown().is_reported();
  const auto is_unreadable = this->counters.unreadable != this->logged.unreadable;
  const auto is_changed = this->counters.sum() != this->logged.sum();
  if (!is_changed || !is_active(this->mode, is_reported || is_unreadable)) {
    return;
  }
  this->logged = this->counters;
  const auto now = EventLoop::now();
  const auto percent = this->server.slowdown().percent(now);
  logEvent(now.count(), "server_load",
           {{"instance", this->server.reports().heartbeat().incarnation()},
            {"slowdown", percent ? std::to_string(*percent) : ""},
            {"age_us", std::to_string(this->server.slowdown().age(now).count())},
            {"reports", std::to_string(this->counters.reports)},
            {"unreadable", std::to_string(this->counters.unreadable)},
            {"unreadable_reason", this->unreadable_reason},
            {"queries", std::to_string(this->counters.queries)},
            {"queries_failed", std::to_string(this->counters.failed_queries)}});
}

}  // namespace ramppond
