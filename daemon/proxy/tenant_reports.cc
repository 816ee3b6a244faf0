#include "daemon/proxy/tenant_reports.h"

#include <utility>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

// A tenant that begins to send many times its limit is held back a report and an answer later. With
// more, it exceeds its burst and the slack of the platform's bound meanwhile; with less, the leader
// of a large fleet spends its time on reports.
constexpr auto report_interval = milliseconds(250);
// Between reports that a surge of some tenant asks for.
constexpr auto least_interval = milliseconds(50);

}  // namespace

tenant_reports::tenant_reports(EventLoop& loop, ProxySession& session, ControlChannels& channels,
                               quota_limiter& quotas, const InstanceDirectory& directory,
                               std::string own_address)
    : session(session),
      channels(channels),
      quotas(quotas),
      directory(directory),
      own_address(std::move(own_address)),
      timer(loop) {}

void tenant_reports::report() {
  this->timer.after(report_interval, [this] { this->report(); });
  if (this->session.leader().empty()) {
    return;
  }
  this->last_report = EventLoop::now();
  this->quotas.set_known_proxies(this->directory.size());
  auto report = this->quotas.report();
  if (!report) {
    return;
  }
  report->proxy_address = this->own_address;
  report->incarnation = this->session.ownRecord().proxy_incarnation;
  auto request = ControlRequest();
  request.type = ControlRequestType::kQuotaReport;
  request.quota_report = encode(*report);
  const auto asked = EventLoop::now();
  this->channels.request(
      this->session.leader(), request, 2 * report_interval,
      [this, asked, sequence = report->sequence](const std::optional<ControlReply>& reply) {
        this->on_reply(sequence, reply, asked);
      });
}

void tenant_reports::report_soon() {
  if (EventLoop::now() - this->last_report >= least_interval) {
    this->report();
  }
}

void tenant_reports::on_reply(std::uint64_t sequence, const std::optional<ControlReply>& reply,
                              TimePoint asked) {
  if (!reply) {
    return;
  }
  this->session.onLeaderNamed(reply->leader_address);
  if (reply->error != ErrorKind::kNone) {
    return;
  }
  const auto decision = decode<quota_answer>(reply->quota_answer);
  if (decision) {
    this->quotas.on_answer(sequence, *decision, asked);
  }
}

}  // namespace ramppond
