#include "daemon/proxy/crash_guard.h"

#include <algorithm>

#include "common/event_log.h"
#include "core/crash_evidence/quarantine_placement.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/proxy_context.h"
#include "daemon/proxy/server_probe.h"

namespace ramppond {
namespace {

// After a crash, the ends of all connections are read within milliseconds; if some are still open
// after the last check, the server is alive. With fewer checks or shorter intervals, a crash passes
// for a lost connection; with longer intervals, its report is delayed accordingly.
constexpr auto check_interval = milliseconds(2);
constexpr auto max_connection_checks = std::uint32_t(5);

auto join(const std::vector<request_digest>& digests) -> std::string {
  auto text = std::string();
  for (const auto& digest : digests) {
    text += (text.empty() ? "" : " ") + format_digest(digest);
  }
  return text;
}

auto join(const std::vector<std::string>& names) -> std::string {
  auto text = std::string();
  for (const auto& name : names) {
    text += (text.empty() ? "" : " ") + name;
  }
  return text;
}

}  // namespace

crash_guard::crash_guard(ProxyContext& context)
    : context(context), check_timer(context.loop), resume_timer(context.loop) {}

crash_guard::~crash_guard() {
  if (this->probe != nullptr) {
    this->probe->abort(false);
  }
}

auto crash_guard::server() const -> server_instance {
  const auto& heartbeat = this->context.own.reports().heartbeat();
  return {heartbeat.incarnation(), heartbeat.service};
}

auto crash_guard::judge(const request_digest& digest) const -> suspicion_state {
  return this->ledger.judge(digest, EventLoop::now());
}

auto crash_guard::may_run_quarantined(const request_digest& digest) const -> bool {
  const auto& service = this->context.own.reports().heartbeat().service;
  return is_quarantine_proxy(digest, this->context.settings.peer_address.toString(),
                             this->context.directory.proxiesOf(service));
}

void crash_guard::on_reported_crash(const request_digest& digest) {
  this->ledger.on_reported_crash(digest, EventLoop::now());
}

void crash_guard::on_lost(const server_run& run) {
  this->ledger.on_lost(run, EventLoop::now());
  this->checks = 0;
  this->check_timer.after(check_interval, [this] { this->check_server(); });
}

void crash_guard::on_abandoned(const server_run& run) {
  this->ledger.on_abandoned(run, EventLoop::now());
}

void crash_guard::on_answered(const request_digest& digest, TimePoint begun, bool succeeded) {
  this->ledger.on_alive(begun);
  if (succeeded) {
    this->ledger.on_success(digest, this->server(), EventLoop::now());
    this->report_new_records();
  }
}

// Probes the server only if no connection to it is open: an open one shows that it is alive.
void crash_guard::check_server() {
  if (!this->ledger.is_pending() || this->probe != nullptr) {
    return;
  }
  if (this->context.own.connections().established() > 0) {
    this->checks += 1;
    if (this->checks < max_connection_checks) {
      this->check_timer.after(check_interval, [this] { this->check_server(); });
    }
    return;
  }
  this->probe = std::make_shared<server_probe>(
      this->context.loop, [this](probe_answer answer) { this->on_probed(answer); });
  this->probe->start(this->context.settings.server_address);
}

void crash_guard::on_probed(probe_answer answer) {
  this->probe.reset();
  switch (answer) {
    case probe_answer::listens:
      this->ledger.on_alive(EventLoop::now());
      break;
    case probe_answer::refuses:
      this->context.own.on_connection_refused(
          this->context.own.reports().heartbeat().incarnation());
      break;
    case probe_answer::unknown:
      break;  // shown by the server's next incarnation or a later loss
  }
}

void crash_guard::on_server_gone(const std::string& incarnation) {
  const auto now = EventLoop::now();
  if (this->context.own.reports().announcedLeave(incarnation)) {
    this->ledger.on_alive(now);  // a planned stop, not a crash
    return;
  }
  const auto report = this->ledger.on_server_gone({incarnation, this->server().service}, now);
  if (!report) {
    return;
  }
  this->context.counters.server_crashes += 1;
  this->context.counters.crashed_under_way += report->under_way;
  logEvent(now.count(), "server_ended",
           {{"instance", incarnation},
            {"under_way", std::to_string(report->under_way)},
            {"digests", join(report->candidates)},
            {"isolated", join(report->isolated)}});
  this->report_new_records();
}

void crash_guard::merge_records(const std::vector<instance_evidence>& records) {
  if (!records.empty()) {
    this->ledger.take(records, this->server(), EventLoop::now());
    this->report_new_records();
    this->reconsider_waiting();
  }
}

void crash_guard::report_new_records() {
  for (const auto& evidence : this->ledger.take_unreported()) {
    this->on_evidence(evidence);
  }
  this->context.counters.blocks_withdrawn = this->ledger.withdrawn_blocks();
  this->context.counters.suspects_cleared = this->ledger.cleared();
  this->log_blocks();
}

// Re-evaluates the waiting requests after a block, since a block may clear some of them.
void crash_guard::log_blocks() {
  const auto blocks = this->ledger.take_blocks();
  for (const auto& block : blocks) {
    this->context.counters.requests_blocked += 1;
    logEvent(EventLoop::now().count(), "request_barred",
             {{"digest", format_digest(block.digest)},
              {"instances", join(block.instances)},
              {"length_us", std::to_string(block.length.count())}});
  }
  if (!blocks.empty()) {
    this->reconsider_waiting();
  }
}

auto crash_guard::enter(const std::shared_ptr<InboundRequest>& request,
                        isolation_queue::request_id id, TimePoint isolation_deadline) -> bool {
  this->context.counters.isolated += 1;
  if (this->isolation.enter(id, isolation_deadline)) {
    return true;
  }
  this->waiting[id] = request;
  this->schedule_resume();
  return false;
}

// Waiting requests resume in a later iteration of the loop, because the caller is still ending.
void crash_guard::leave(isolation_queue::request_id id) {
  this->isolation.leave(id);
  this->waiting.erase(id);
  this->schedule_resume();
}

void crash_guard::schedule_resume() {
  const auto next = this->isolation.next_expiry();
  if (!next) {
    return;  // no request is waiting
  }
  const auto wait = this->isolation.is_free() ? Duration(0) : *next - EventLoop::now();
  this->resume_timer.after(std::max(wait, Duration(0)), [this] { this->resume_waiting(); });
}

void crash_guard::resume_waiting() {
  const auto now = EventLoop::now();
  const auto take_waiting = [this](isolation_queue::request_id id) {
    const auto found = this->waiting.find(id);
    auto request = found == this->waiting.end() ? nullptr : found->second.lock();
    this->waiting.erase(id);
    return request;
  };
  for (const auto id : this->isolation.take_expired(now)) {
    const auto request = take_waiting(id);
    if (request != nullptr) {
      request->onIsolationTimeout();
    }
  }
  while (const auto id = this->isolation.take_next()) {
    const auto request = take_waiting(*id);
    if (request == nullptr) {
      this->isolation.leave(*id);
      continue;
    }
    request->onIsolated();
  }
  this->schedule_resume();
}

// Re-evaluates each waiting request, which may have been cleared or blocked since it started to
// wait.
void crash_guard::reconsider_waiting() {
  const auto before = std::exchange(this->waiting, {});
  for (const auto& [id, weak] : before) {
    this->isolation.leave(id);
  }
  for (const auto& [id, weak] : before) {
    const auto request = weak.lock();
    if (request != nullptr) {
      request->reconsider();
    }
  }
}

}  // namespace ramppond
