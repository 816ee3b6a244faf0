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
  const auto changed = this->server.onHeartbeat(heartbeat, now);
  this->report_departures();
  if (!changed) {
    return;
  }
  if (before != heartbeat.incarnation()) {
    this->on_gone(before);
  }
  logEvent(now.count(), "server",
           {{"instance", heartbeat.incarnation()},
            {"state", heartbeat.draining ? "draining" : "ready"}});
  this->on_server_changed();
}

void own_server::on_leave(const ServerLeave& leave) {
  const auto now = EventLoop::now();
  const auto changed = this->server.onLeave(leave, now);
  this->report_departures();
  if (changed) {
    logEvent(now.count(), "server",
             {{"instance", this->server.heartbeat().incarnation()}, {"state", "left"}});
    this->on_server_changed();
  }
}

void own_server::on_leaving_answer(const std::string& incarnation) {
  const auto now = EventLoop::now();
  const auto changed = this->server.onLeavingAnswer(incarnation, now);
  this->report_departures();
  if (changed) {
    logEvent(now.count(), "server", {{"instance", incarnation}, {"state", "draining"}});
    this->on_server_changed();
  }
}

void own_server::report_departures() {
  for (const auto& departure : this->server.takeDepartures()) {
    this->on_departure(departure);
  }
}

void own_server::restore(const departure_batch& acknowledged) {
  if (this->server.restore(acknowledged, EventLoop::now())) {
    this->on_server_changed();
  }
}

void own_server::on_announced_limit(const std::string& incarnation, const named_limit& answered,
                                    TimePoint begun) {
  if (incarnation != this->tracked_incarnation) {
    return;
  }
  this->log_unreadable(incarnation, answered);
  const auto now = EventLoop::now();
  const auto before = this->announced_limit.rate();
  if (this->announced_limit.on_answer(answered, begun, now)) {
    this->apply_rate(before);
  }
}

void own_server::on_limit_from_peer(const std::string& incarnation, request_rate reported) {
  const auto before = this->announced_limit.rate();
  if (incarnation == this->tracked_incarnation &&
      this->announced_limit.on_peer_report(reported, EventLoop::now())) {
    this->apply_rate(before);
  }
}

void own_server::apply_rate(const std::optional<request_rate>& before) {
  const auto now = EventLoop::now();
  this->admission_control.setRate(this->announced_limit.rate(), now);
  logEvent(now.count(), "server_limit",
           {{"instance", this->tracked_incarnation},
            {"before", text_of(before)},
            {"now", text_of(this->announced_limit.rate())}});
}

void own_server::log_limit_use() const {
  if (!this->announced_limit.rate()) {
    return;
  }
  const auto now = EventLoop::now();
  logEvent(now.count(), "server_limit_use",
           {{"instance", this->tracked_incarnation},
            {"limit", text_of(this->announced_limit.rate())},
            {"age_us", std::to_string(this->announced_limit.age(now).count())},
            {"dispatched", std::to_string(this->dispatched)},
            {"refused", std::to_string(this->refused_for_rate)}});
}

void own_server::log_fair_shares() {
  if (!this->admission_control.shares()) {
    return;
  }
  const auto now = EventLoop::now();
  const auto summary = this->admission_control.shares()->summary(now);
  const auto refused = summary.refused - std::min(summary.refused, this->refused_for_others);
  this->refused_for_others = summary.refused;
  if (summary.callers_beyond == 0 && refused == 0) {
    return;
  }
  logEvent(now.count(), "fair_shares",
           {{"callers", std::to_string(summary.callers)},
            {"beyond", std::to_string(summary.callers_beyond)},
            {"largest", summary.largest},
            {"largest_share", std::to_string(summary.largest_share)},
            {"refused", std::to_string(refused)}});
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
    this->on_server_changed();
  }
}

auto own_server::on_connection_refused(const std::string& incarnation) -> bool {
  const auto established = this->pool.established();
  if (established == 0) {
    this->on_gone(incarnation);
  }
  if (this->server.onConnectionRefused(incarnation, established)) {
    this->on_server_changed();
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

void own_server::on_server_changed() {
  const auto incarnation = this->server.heartbeat().incarnation();
  if (this->server.known() && incarnation != this->tracked_incarnation) {
    this->tracked_incarnation = incarnation;
    this->breaker = circuit_breaker();
    this->service_durations = service_times();
    this->announced_limit = effective_limit();
    this->machine.on_new_incarnation(EventLoop::now());
    this->admission_control.setRate(std::nullopt, EventLoop::now());
  }
  this->apply_limits();
  this->on_changed();
}

void own_server::apply_limits() {
  if (!this->server.known()) {
    return;
  }
  const auto* defined = this->service();
  const auto max_connections = defined == nullptr ? 0 : defined->max_connections;
  this->admission_control.setSlots(this->server.heartbeat().slots, max_connections);
}

auto own_server::service() const -> const ServiceDefinition* {
  const auto found = std::find_if(this->services.begin(), this->services.end(),
                                  [&](const ServiceDefinition& defined) {
                                    return defined.name == this->server.heartbeat().service;
                                  });
  return found == this->services.end() ? nullptr : &*found;
}

auto own_server::health_path() const -> std::string {
  const auto* defined = this->service();
  if (defined == nullptr) {
    return "";
  }
  const auto connections = defined->max_connections;
  const auto has_spare = connections == 0 || this->admission_control.limit() < connections;
  return has_spare ? defined->health_path : "";
}

void own_server::on_load_report(const std::string& incarnation, const named_server_load& reported) {
  if (incarnation == this->tracked_incarnation) {
    this->machine.on_report(reported, EventLoop::now());
  }
}

auto own_server::fence(const std::string& incarnation, const std::string& service) const
    -> FenceVerdict {
  return this->server.admit(incarnation, service, EventLoop::now());
}

auto own_server::breaker_admits(bool retryable, TimePoint now) -> bool {
  return this->breaker.admit(retryable, now);
}

auto own_server::service_time(const std::string& route) const -> std::optional<Duration> {
  return this->service_durations.of(route, EventLoop::now());
}

void own_server::on_dispatched(const std::string& route, TimePoint now) {
  this->dispatched += 1;
  this->service_durations.on_begun(route, now);
}

void own_server::on_ended(const ended_run& run) {
  const auto now = EventLoop::now();
  const auto usual_time =
      run.begun_work ? std::optional<Duration>(this->machine.work_clock(now) - *run.begun_work)
                     : std::nullopt;
  const auto done = isCompletedRun(run.outcome);
  this->service_durations.on_ended(run.route, run.begun, done, now, usual_time);
  this->update_breaker(run, now);
  this->admission_control.onFinished(run.begun, run.outcome, now, run.id, usual_time);
  if (!run.sent) {
    this->admission_control.onNotSent(now);
  }
}

void own_server::update_breaker(const ended_run& run, TimePoint now) {
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
  load.limit = this->admission_control.limit();
  load.under_way = static_cast<std::uint32_t>(this->admission_control.underWay());
  load.waiting = static_cast<std::uint32_t>(this->admission_control.waiting());
  load.service_time =
      this->service_durations.of(route, now, this->machine.factor(now)).value_or(Duration(0));
  load.slowdown_percent = this->machine.percent(now);
  load.failed_permille = this->admission_control.failedPermille();
  load.shed = this->admission_control.shedLevel(now);
  if (const auto rate = this->announced_limit.rate()) {
    load.rate = rate_load{*rate, this->admission_control.demand(now)};
  }
  return load;
}

}  // namespace ramppond
