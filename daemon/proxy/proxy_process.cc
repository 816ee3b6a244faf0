#include "daemon/proxy/proxy_process.h"

#include <csignal>

#include "common/event_log.h"
#include "core/cbor_codec.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/peer_ping.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

// Clients stop sending after they were told twice, a second apart, that this daemon is not ready.
constexpr Duration kLeastStopTime = milliseconds(2100);
// Until then peers that know no other server may still send requests; what was begun must end
// before this daemon does.
constexpr Duration kPeersServedWhileStopping = milliseconds(1200);
constexpr Duration kStopCheckInterval = milliseconds(20);
// Requests that come all the time do not keep it: what is read until then has the other half.
constexpr std::int64_t kCloseLatestDivisor = 2;
// The end comes this long before the platform would enforce it.
constexpr Duration kStopMargin = milliseconds(300);
constexpr std::uint32_t kCounterSeconds = 5;
// All daemons are known by then. Before, each would take too large a part of what they share.
constexpr std::uint32_t kSecondsUntilFleetKnown = 10;
constexpr Duration kLivenessInterval = milliseconds(100);
// A tenant that begins to send many times its limit is held back a report and an answer later:
// within what its burst and the bound's slack pay for. Costs 0.2 KB a report.
constexpr Duration kTenantReportInterval = milliseconds(250);
constexpr Duration kLeastReportInterval = milliseconds(50);
// A member that is asked answers each second.
constexpr Duration kMemberConnectionIdle = seconds(5);
constexpr std::size_t kMaximumReportBytes = 65536;

// Orders the starts of one daemon: later ones have higher numbers unless the clock ran backwards,
// which ProxySession corrects.
std::uint64_t incarnationNow() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// To a request of another daemon that crosses the end of its connection: it was not read.
std::string farewellToPeers() {
  HttpHead head;
  head.status = kUnavailable;
  head.content_length = 0;
  head.fields.push_back({std::string(kPeerFarewell), "1"});
  head.fields.push_back({std::string(kPeerOutcome), std::string(kOutcomeFenced) + ";closing"});
  return responseHeadBytes(head, BodyFraming::kLength, true);
}

HttpServerOptions peerServerOptions() {
  HttpServerOptions options;
  options.max_header_bytes = 131072;
  options.idle_timeout = seconds(60);
  options.farewell = farewellToPeers();
  return options;
}

stop_times stopTimes(const OperatingBounds& bounds) {
  return {kPeersServedWhileStopping, kLeastStopTime, bounds.grace / kCloseLatestDivisor,
          bounds.grace - kStopMargin};
}

ProxySessionOptions sessionOptions(const ProxySettings& settings, const OperatingBounds& bounds) {
  ProxySessionOptions options;
  options.zone = settings.zone;
  options.seeds = memberAddresses(settings.seeds, settings.member_port);
  options.incarnation = incarnationNow();
  options.random_seed = randomNumber64();
  const auto renewal = authority_lease(bounds.revocation).renewal_interval();
  options.wants_proof = renewal.has_value();
  options.hold = std::min(options.hold, renewal.value_or(options.hold));
  return options;
}

}  // namespace

ProxyProcess::ProxyProcess(const ExternalApi& api, const OperatingBounds& bounds,
                           const ProxySettings& settings, std::string settings_path)
    : settings_watch_(std::move(settings_path)),
      context_(loop_, api, bounds, settings, randomNumber64()),
      session_(sessionOptions(settings, bounds)),
      channels_(loop_),
      clients_(loop_, settings.client_address, HttpServerOptions{},
               [this](const std::shared_ptr<ServerExchange>& exchange) {
                 ForwardedRequest::serve(context_, exchange);
               }),
      peers_(loop_, settings.peer_address, peerServerOptions(),
             [this](const std::shared_ptr<ServerExchange>& exchange) {
               if (is_ping(exchange->request())) {
                 answer_ping(*exchange, context_.own.load(""));
               } else {
                 InboundRequest::serve(context_, exchange);
               }
             }),
      readiness_(
          loop_, settings.readiness_address, HttpServerOptions{},
          [this](const std::shared_ptr<ServerExchange>& exchange) { serveReadiness(exchange); }),
      reports_(loop_, settings.report_address, HttpServerOptions{},
               [this](const std::shared_ptr<ServerExchange>& exchange) { serveReport(exchange); }),
      signals_(loop_.context(), SIGTERM, SIGINT, SIGHUP),
      poll_timer_(loop_),
      second_timer_(loop_),
      liveness_timer_(loop_),
      report_timer_(loop_),
      stop_timer_(loop_) {
  context_.own.on_changed = [this] { tellOwnRecord(); };
  context_.on_tenant_surge = [this] { reportTenantsSoon(); };
  context_.guard.on_evidence = [this](const instance_evidence& evidence) {
    session_.tellEvidence(evidence, EventLoop::now());
    poll();
  };
}

std::optional<std::string> ProxyProcess::start() {
  for (StreamHttpServer* server : {&clients_, &peers_, &readiness_, &reports_}) {
    if (auto error = server->start()) {
      return error;
    }
  }
  waitForSignal();
  tellOwnRecord();
  everySecond();
  checkPeers();
  reportTenants();
  logEvent(EventLoop::now().count(), "started",
           {{"name", context_.settings.name},
            {"grace_us", std::to_string(context_.bounds.grace.count())},
            {"drain_timeout_us", std::to_string(context_.bounds.drain_timeout.count())},
            {"retry_ratio", std::to_string(context_.bounds.retry_ratio)}});
  return std::nullopt;
}

void ProxyProcess::answer(const std::shared_ptr<ServerExchange>& exchange, int status,
                          std::string_view body) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  exchange->respond(std::move(head), body);
}

void ProxyProcess::serveReadiness(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpHead& request = exchange->request();
  const ExternalCall call = context_.api.classify(request.method, request.target);
  if (call.type != ExternalCallType::kReadiness) {
    answer(exchange, kNotFound, "{}");
    return;
  }
  const bool ready = session_.hasTraffic() && !stop_;
  answer(exchange, ready ? kOk : kUnavailable, "{}");
}

void ProxyProcess::serveReport(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpHead& request = exchange->request();
  const ExternalCall call = context_.api.classify(request.method, request.target);
  const bool known =
      call.type == ExternalCallType::kHeartbeat || call.type == ExternalCallType::kLeave;
  if (!known) {
    answer(exchange, kNotFound, "{}");
    return;
  }
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->setHandler(std::make_shared<WholeBodyHandler>(
      kMaximumReportBytes, [this, call, weak](const std::string& body) {
        const auto alive = weak.lock();
        if (alive != nullptr) {
          onReport(call, body, alive);
        }
      }));
}

void ProxyProcess::onReport(const ExternalCall& call, const std::string& body,
                            const std::shared_ptr<ServerExchange>& exchange) {
  const bool understood = call.type == ExternalCallType::kLeave
                              ? onLeave(call.instance_id, body)
                              : onHeartbeat(call.instance_id, body);
  answer(exchange, understood ? kOk : kBadRequest, "{}");
}

bool ProxyProcess::onLeave(const std::string& instance_id, const std::string& body) {
  const auto leave = context_.api.parseLeave(instance_id, body);
  if (!leave.value) {
    logReportRefused(instance_id, leave.error);
    return false;
  }
  context_.own.on_leave(*leave.value);
  return true;
}

bool ProxyProcess::onHeartbeat(const std::string& instance_id, const std::string& body) {
  auto heartbeat = context_.api.parseHeartbeat(instance_id, body);
  if (heartbeat.value && !namesKnownService(*heartbeat.value)) {
    heartbeat.error = "heartbeat: service: '" + heartbeat.value->service + "' is not defined";
  }
  if (!heartbeat.error.empty()) {
    logReportRefused(instance_id, heartbeat.error);
    return false;
  }
  context_.own.on_heartbeat(*heartbeat.value);
  return true;
}

// Before the first configuration only the service that the settings name is known.
bool ProxyProcess::namesKnownService(const ServerHeartbeat& heartbeat) const {
  return heartbeat.service == context_.settings.service ||
         (context_.traffic != nullptr &&
          definesService(context_.traffic->configuration, heartbeat.service));
}

void ProxyProcess::logReportRefused(const std::string& instance_id, const std::string& reason) {
  const TimePoint now = EventLoop::now();
  if (context_.refused_reports.allow(now.count())) {
    logEvent(now.count(), context_.refused_reports.event(),
             {{"instance", instance_id}, {"reason", reason}});
  }
}

void ProxyProcess::tellOwnRecord() {
  InstanceRecord record = context_.own.reports().record();
  record.daemon_address = context_.settings.peer_address.toString();
  record.zone = context_.settings.zone;
  if (stop_ && record.state == InstanceState::kReady) {
    record.state = InstanceState::kStopping;
  }
  session_.setOwnRecord(record);
  context_.directory.offer(session_.ownRecord());
  poll();
}

void ProxyProcess::poll() {
  const TimePoint now = EventLoop::now();
  auto outgoing = session_.takePoll(now);
  if (outgoing) {
    const std::uint64_t poll_id = outgoing->poll_id;
    channels_.request(outgoing->address, outgoing->request, outgoing->timeout,
                      [this, poll_id, asked = now](const std::optional<ControlReply>& reply) {
                        const std::string before = session_.upstream();
                        if (session_.onReply(poll_id, reply, EventLoop::now())) {
                          context_.lease.on_vouched(asked);
                        }
                        if (session_.upstream() != before) {
                          logEvent(EventLoop::now().count(), "control_member",
                                   {{"before", before}, {"now", session_.upstream()}});
                        }
                        takeNews();
                        poll();
                      });
  }
  const auto due = session_.nextPoll();
  if (due) {
    poll_timer_.after(std::max(*due - now, Duration(1000)), [this] { poll(); });
  }
}

// Tells the leader what tenants sent since it last knew, and takes its word on who is limited.
void ProxyProcess::reportTenants() {
  report_timer_.after(kTenantReportInterval, [this] { reportTenants(); });
  if (session_.leader().empty()) {
    return;
  }
  last_report_ = EventLoop::now();
  context_.quotas.set_known_daemons(context_.directory.size());
  auto report = context_.quotas.report();
  if (!report) {
    return;
  }
  report->daemon = context_.settings.peer_address.toString();
  report->incarnation = session_.ownRecord().incarnation;
  ControlRequest request;
  request.type = ControlRequestType::kQuotaReport;
  request.quota_report = encode(*report);
  const TimePoint asked = EventLoop::now();
  channels_.request(
      session_.leader(), request, 2 * kTenantReportInterval,
      [this, asked, sequence = report->sequence](const std::optional<ControlReply>& reply) {
        onTenantWord(sequence, reply, asked);
      });
}

void ProxyProcess::reportTenantsSoon() {
  if (EventLoop::now() - last_report_ >= kLeastReportInterval) {
    reportTenants();
  }
}

void ProxyProcess::onTenantWord(std::uint64_t sequence, const std::optional<ControlReply>& reply,
                                TimePoint asked) {
  if (!reply) {
    return;
  }
  session_.onLeaderNamed(reply->leader_address);
  if (reply->error != ErrorKind::kNone) {
    return;
  }
  const auto word = decode<quota_word>(reply->quota_word);
  if (word) {
    context_.quotas.on_word(sequence, *word, asked);
  }
}

void ProxyProcess::takeNews() {
  for (const InstanceRecord& record : session_.takeInstances()) {
    if (context_.directory.offer(record)) {
      context_.peers.close_idle_to(record.daemon_address);
    }
  }
  context_.guard.take(session_.takeEvidence());
  if (!session_.takeTrafficChanged()) {
    return;
  }
  context_.traffic = std::make_shared<const TrafficInForce>(session_.traffic());
  context_.own.set_services(session_.traffic().services);
  context_.quotas.set_limits(session_.traffic().tenants);
  const RequestLimits& limits = session_.traffic().limits;
  HttpServerOptions options = clients_.options();
  options.max_header_bytes = static_cast<std::uint32_t>(limits.max_header_bytes);
  options.header_timeout = limits.header_timeout;
  options.idle_timeout = limits.idle_timeout;
  clients_.setOptions(options);
  logEvent(EventLoop::now().count(), "configuration",
           {{"number", std::to_string(session_.traffic().number)},
            {"index", std::to_string(session_.trafficIndex())}});
}

void ProxyProcess::waitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (!error) {
      onSignal(signal);
      waitForSignal();
    }
  });
}

void ProxyProcess::onSignal(int signal) {
  if (signal == SIGHUP) {
    rereadSettings(true);
    return;
  }
  if (stop_) {
    return;
  }
  const TimePoint now = EventLoop::now();
  stop_.emplace(stopTimes(context_.bounds), now);
  logEvent(now.count(), "stopping");
  clients_.drain();
  peers_.drain();
  tellOwnRecord();
  stopInPhases();
}

void ProxyProcess::stopInPhases() {
  const stop_load load = {clients_.underWay() + peers_.underWay(),
                          clients_.connections() + peers_.connections()};
  const stop_phase phase = stop_->step(load, EventLoop::now());
  context_.refuse_peers = phase != stop_phase::draining;
  if (phase == stop_phase::closing) {
    closeToNewRequests();
  }
  if (phase == stop_phase::ended) {
    logCounters();
    logEvent(EventLoop::now().count(), "stopped",
             {{"requests_cut", std::to_string(load.requests)},
              {"connections_cut", std::to_string(load.connections)}});
    loop_.stop();
    return;
  }
  stop_timer_.after(kStopCheckInterval, [this] { stopInPhases(); });
}

void ProxyProcess::closeToNewRequests() {
  if (clients_.closed()) {
    return;
  }
  clients_.close();
  peers_.close();
  logEvent(EventLoop::now().count(), "closing",
           {{"requests", std::to_string(clients_.underWay() + peers_.underWay())},
            {"connections", std::to_string(clients_.connections() + peers_.connections())}});
}

// The file may change without a signal. Only the seeds can change while the process runs.
void ProxyProcess::rereadSettings(bool asked) {
  if (!settings_watch_.changed()) {
    return;
  }
  std::string error;
  const auto settings = readProxySettings(settings_watch_.path(), error);
  const std::int64_t now = EventLoop::now().count();
  if (!settings) {
    logEvent(now, "settings_refused", {{"error", error}});
    return;
  }
  session_.setSeeds(memberAddresses(settings->seeds, settings->member_port));
  logEvent(now, "settings_taken", {{"signal", asked ? "yes" : "no"}});
}

void ProxyProcess::checkPeers() {
  context_.monitor.check();
  liveness_timer_.after(kLivenessInterval, [this] { checkPeers(); });
}

void ProxyProcess::everySecond() {
  channels_.closeUnusedSince(EventLoop::now() - kMemberConnectionIdle);
  context_.own.connections().sweep();
  context_.peers.sweep();
  rereadSettings(false);
  seconds_ += 1;
  if (seconds_ >= kSecondsUntilFleetKnown) {
    context_.budgets.share_among(context_.directory.size());
  }
  if (seconds_ % kCounterSeconds == 0) {
    logCounters();
  }
  second_timer_.after(seconds(1), [this] { everySecond(); });
}

void ProxyProcess::logCounters() {
  const HttpClientCounters& connections = context_.own.connections().counters();
  proxy_gauges gauges;
  gauges.server_connections = connections.connections_opened;
  gauges.surplus_answers = connections.surplus_answers;
  gauges.sockets = loop_.sockets().open().value;
  gauges.under_way = context_.own.admission().underWay();
  gauges.waiting = context_.own.admission().waiting();
  gauges.service_time = context_.own.admission().serviceTime(EventLoop::now());
  logEvent(EventLoop::now().count(), "counters", counter_fields(context_.counters, gauges));
}

}  // namespace ramppond
