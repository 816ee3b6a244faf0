#include "daemon/proxy/own_server.h"

#include <algorithm>

#include "common/event_log.h"
#include "core/admission/run_outcome.h"

namespace ramppond {

own_server::own_server(EventLoop& loop, const HttpClientOptions& connections,
                       Duration draining_admission)
    : pool(loop, connections), server(draining_admission) {}

void own_server::on_heartbeat(const ServerHeartbeat& heartbeat) {
  const auto now = EventLoop::now();
  const auto before = this->server.heartbeat().incarnation();
  if (!this->server.onHeartbeat(heartbeat, now)) {
    return;
  }
  if (before != heartbeat.incarnation()) {
    this->on_gone(before);
  }
  logEvent(now.count(), "server",
           {{"instance", heartbeat.incarnation()},
            {"state", heartbeat.draining ? "draining" : "ready"}});
  this->report_change();
}

void own_server::on_leave(const ServerLeave& leave) {
  if (this->server.onLeave(leave, EventLoop::now())) {
    this->report_change();
  }
}

void own_server::on_leaving_answer(const std::string& incarnation) {
  const auto now = EventLoop::now();
  if (this->server.onLeavingAnswer(incarnation, now)) {
    logEvent(now.count(), "server", {{"instance", incarnation}, {"state", "draining"}});
    this->report_change();
  }
}

void own_server::on_named_limit(const std::string& incarnation, const named_limit& answered,
                                TimePoint begun) {
  if (incarnation != this->judged_incarnation) {
    return;
  }
  this->log_unreadable(incarnation, answered);
  const auto now = EventLoop::now();
  const auto before = this->named.rate();
  if (this->named.on_answer(answered, begun, now)) {
    this->apply_rate(before);
  }
}

void own_server::on_told_limit(const std::string& incarnation, request_rate told) {
  const auto before = this->named.rate();
  if (incarnation == this->judged_incarnation &&
      this->named.on_peer_report(told, EventLoop::now())) {
    this->apply_rate(before);
  }
}

void own_server::apply_rate(const std::optional<request_rate>& before) {
  const auto now = EventLoop::now();
  this->admitted.setRate(this->named.rate(), now);
  logEvent(now.count(), "server_limit",
           {{"instance", this->judged_incarnation},
            {"before", text_of(before)},
            {"now", text_of(this->named.rate())}});
}

void own_server::log_limit_use() const {
  if (!this->named.rate()) {
    return;
  }
  const auto now = EventLoop::now();
  logEvent(now.count(), "server_limit_use",
           {{"instance", this->judged_incarnation},
            {"limit", text_of(this->named.rate())},
            {"age_us", std::to_string(this->named.age(now).count())},
            {"dispatched", std::to_string(this->dispatched)},
            {"refused", std::to_string(this->beyond_rate)}});
}

void own_server::log_unreadable(const std::string& incarnation, const named_limit& answered) {
  const auto* unreadable = std::get_if<unreadable_limit>(&answered);
  const auto now = EventLoop::now();
  if (unreadable != nullptr && this->unreadable_log.allow(now.count())) {
    logEvent(now.count(), this->unreadable_log.event(),
             {{"instance", incarnation}, {"reason", unreadable->reason}});
  }
}

void own_server::on_wrong_instance(const std::string& incarnation) {
  if (this->server.onWrongInstance(incarnation)) {
    this->report_change();
  }
}

auto own_server::on_connection_refused(const std::string& incarnation) -> bool {
  const auto established = this->pool.established();
  if (established == 0) {
    this->on_gone(incarnation);
  }
  if (this->server.onConnectionRefused(incarnation, established)) {
    this->report_change();
  }
  return established > 0;
}

void own_server::set_services(const std::vector<ServiceDefinition>& services) {
  this->services = services;
  this->apply_limits();
}

auto own_server::is_service(const std::string& service) const -> bool {
  return std::any_of(this->services.begin(), this->services.end(),
                     [&](const ServiceDefinition& defined) { return defined.name == service; });
}

void own_server::report_change() {
  const auto incarnation = this->server.heartbeat().incarnation();
  if (this->server.known() && incarnation != this->judged_incarnation) {
    this->judged_incarnation = incarnation;
    this->breaker = circuit_breaker();
    this->times = service_times();
    this->named = effective_limit();
    this->admitted.setRate(std::nullopt, EventLoop::now());
  }
  this->apply_limits();
  this->on_changed();
}

void own_server::apply_limits() {
  if (!this->server.known()) {
    return;
  }
  auto max_connections = std::uint32_t(0);
  for (const auto& service : this->services) {
    if (service.name == this->server.heartbeat().service) {
      max_connections = service.max_connections;
    }
  }
  this->admitted.setSlots(this->server.heartbeat().slots, max_connections);
}

auto own_server::fence(const std::string& incarnation, const std::string& service) const
    -> FenceVerdict {
  return this->server.admit(incarnation, service, EventLoop::now());
}

auto own_server::breaker_admits(bool retryable) -> bool {
  return this->breaker.admit(retryable, EventLoop::now());
}

auto own_server::service_time(const std::string& route) const -> std::optional<Duration> {
  return this->times.of(route, EventLoop::now());
}

void own_server::on_begun(const std::string& route, TimePoint now) {
  this->dispatched += 1;
  this->times.on_begun(route, now);
}

void own_server::on_ended(const ended_run& run) {
  const auto now = EventLoop::now();
  this->times.on_ended(run.route, run.begun, isCompletedRun(run.outcome), now);
  this->tell_breaker(run, now);
  this->admitted.onFinished(run.begun, run.outcome, now);
  if (!run.sent) {
    this->admitted.onNotSent(now);
  }
}

void own_server::tell_breaker(const ended_run& run, TimePoint now) {
  const auto was_closed = this->breaker.is_closed();
  switch (signal_of(run.outcome, run.reused_connection, run.since_failed_call)) {
    case breaker_signal::success:
      this->breaker.on_success();
      break;
    case breaker_signal::failure:
      this->breaker.on_failure(now);
      break;
    case breaker_signal::unknown:
      this->breaker.on_unknown(now);
      break;
  }
  if (this->breaker.is_closed() != was_closed) {
    logEvent(now.count(), "breaker", {{"is", was_closed ? "open" : "closed"}});
  }
}

auto own_server::load(const std::string& route) const -> ServerLoad {
  const auto now = EventLoop::now();
  auto load = ServerLoad();
  load.limit = this->admitted.limit();
  load.under_way = static_cast<std::uint32_t>(this->admitted.underWay());
  load.waiting = static_cast<std::uint32_t>(this->admitted.waiting());
  load.service_time = this->times.of(route, now).value_or(Duration(0));
  load.failed_permille = this->admitted.failedPermille();
  load.shed = this->admitted.shedLevel(now);
  if (const auto rate = this->named.rate()) {
    load.rate = rate_load{*rate, this->admitted.demand(now)};
  }
  return load;
}

}  // namespace ramppond
