#include "daemon/proxy/proxy_process.h"

#include <csignal>

#include "common/event_log.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/json_answer.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/peer_ping.h"
#include "net/stream/http_status.h"

namespace ramppond {
namespace {

constexpr std::uint32_t kCounterLogSeconds = 5;
constexpr Duration kLivenessInterval = milliseconds(100);
// Idle timeout of connections to coordinators. A coordinator that is polled answers every second:
// one that has been quiet for this long is no longer polled, and would otherwise hold a connection
// from every proxy that ever polled it.
constexpr Duration kMemberConnectionIdle = seconds(5);

// Orders the starts of one proxy: later ones have higher numbers unless the clock was set back,
// which ProxySession corrects.
std::uint64_t incarnationNow() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// The response to a peer's request that arrives while its connection is being closed: the request
// was not read.
std::string connectionClosingResponse() {
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
  options.farewell = connectionClosingResponse();
  return options;
}

ProxySessionOptions sessionOptions(const ProxySettings& settings, const OperatingBounds& bounds) {
  ProxySessionOptions options;
  options.zone = settings.zone;
  options.seeds = addressesAtPort(settings.seeds, settings.member_port);
  options.incarnation = incarnationNow();
  options.random_seed = randomNumber64();
  const auto renewal = authority_lease(bounds.revocation).renewal_interval();
  options.requests_quorum_confirmation = renewal.has_value();
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
      departures_(loop_, session_, channels_, context_.own, settings.peer_address.toString()),
      server_reports_(api, context_.own, departures_, settings.service),
      tenant_reports_(loop_, session_, channels_, context_.quotas, context_.directory,
                      settings.peer_address.toString()),
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
               [this](const std::shared_ptr<ServerExchange>& exchange) {
                 server_reports_.serve(exchange);
               }),
      stop_(loop_, bounds, clients_, peers_),
      signals_(loop_.context(), SIGTERM, SIGINT, SIGHUP),
      poll_timer_(loop_),
      second_timer_(loop_),
      liveness_timer_(loop_) {
  context_.own.on_changed = [this] { publishOwnRecord(); };
  context_.own.on_departure = [this](const server_departure& departure) {
    departures_.announce(departure);
  };
  context_.on_tenant_surge = [this] { tenant_reports_.report_soon(); };
  stop_.on_begun = [this](const dispatch_window& window) {
    context_.stop_window = window;
    context_.returns.stop();
    publishOwnRecord();
  };
  stop_.on_checked = [this](bool refuse_peers) { context_.refuse_peers = refuse_peers; };
  stop_.on_ended = [this](const stop_load& remaining) { onStopped(remaining); };
  context_.guard.on_evidence = [this](const instance_evidence& evidence) {
    session_.reportEvidence(evidence, EventLoop::now());
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
  publishOwnRecord();
  onSecondElapsed();
  checkPeers();
  tenant_reports_.report();
  logEvent(EventLoop::now().count(), "started",
           {{"name", context_.settings.name},
            {"grace_us", std::to_string(context_.bounds.grace.count())},
            {"drain_timeout_us", std::to_string(context_.bounds.drain_timeout.count())},
            {"retry_ratio", std::to_string(context_.bounds.retry_ratio)}});
  return std::nullopt;
}

void ProxyProcess::serveReadiness(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpHead& request = exchange->request();
  const ExternalCall call = context_.api.classify(request.method, request.target);
  if (call.type != ExternalCallType::kReadiness) {
    answer_empty_object(*exchange, kNotFound);
    return;
  }
  const bool ready = session_.hasTraffic() && !stop_.has_begun();
  answer_empty_object(*exchange, ready ? kOk : kUnavailable);
}

void ProxyProcess::publishOwnRecord() {
  InstanceRecord record = context_.own.reports().record();
  record.proxy_address = context_.settings.peer_address.toString();
  record.zone = context_.settings.zone;
  if (stop_.has_begun() && record.state == InstanceState::kReady) {
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
    channels_.request(
        outgoing->address, outgoing->request, outgoing->timeout,
        [this, poll_id, requested_at = now](const std::optional<ControlReply>& reply) {
          const std::string before = session_.upstream();
          if (session_.onReply(poll_id, reply, EventLoop::now())) {
            context_.lease.on_confirmed(requested_at);
          }
          if (session_.upstream() != before) {
            logEvent(EventLoop::now().count(), "control_member",
                     {{"before", before}, {"now", session_.upstream()}});
          }
          applySessionUpdates();
          departures_.check();
          poll();
        });
  }
  const auto due = session_.nextPoll();
  if (due) {
    poll_timer_.after(std::max(*due - now, Duration(1000)), [this] { poll(); });
  }
}

void ProxyProcess::applySessionUpdates() {
  for (const InstanceRecord& record : session_.takeInstances()) {
    if (context_.directory.offer(record)) {
      context_.peers.close_idle_to(record.proxy_address);
    }
  }
  context_.guard.merge_records(session_.takeEvidence());
  if (!session_.takeTrafficChanged()) {
    return;
  }
  context_.set_traffic(session_.traffic());
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
  stop_.begin();
}

void ProxyProcess::onStopped(const stop_load& remaining) {
  logCounters();
  logEvent(EventLoop::now().count(), "stopped",
           {{"requests_cut", std::to_string(remaining.requests)},
            {"connections_cut", std::to_string(remaining.connections)}});
  loop_.stop();
}

// Called on SIGHUP and periodically, since the file may change without a signal. Only the seeds
// and the modes of some optional parts can change while the process runs.
void ProxyProcess::rereadSettings(bool by_signal) {
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
  session_.setSeeds(addressesAtPort(settings->seeds, settings->member_port));
  context_.set_feature_modes(*settings);
  logEvent(now, "settings_taken", {{"signal", by_signal ? "yes" : "no"}});
}

void ProxyProcess::checkPeers() {
  context_.monitor.check();
  liveness_timer_.after(kLivenessInterval, [this] { checkPeers(); });
}

void ProxyProcess::onSecondElapsed() {
  channels_.closeUnusedSince(EventLoop::now() - kMemberConnectionIdle);
  context_.own.connections().sweep();
  context_.server_load.sweep();
  context_.peers.sweep();
  context_.placement_queries.log();
  rereadSettings(false);
  context_.returns.log(EventLoop::now());
  context_.own.log_fair_shares();
  seconds_ += 1;
  context_.budgets.set_fleet_size(context_.directory.size(), seconds(seconds_));
  if (seconds_ % kCounterLogSeconds == 0) {
    logCounters();
  }
  second_timer_.after(seconds(1), [this] { onSecondElapsed(); });
}

void ProxyProcess::logCounters() {
  const HttpClientCounters& connections = context_.own.connections().counters();
  proxy_gauges gauges;
  gauges.server_connections = connections.connections_opened;
  gauges.surplus_answers = connections.surplus_answers;
  gauges.sockets = loop_.sockets().open().value;
  gauges.under_way = context_.own.admission().underWay();
  gauges.waiting = context_.own.admission().waiting();
  gauges.service_time = context_.own.admission().serviceTime(
      EventLoop::now(), context_.own.slowdown().factor(EventLoop::now()));
  logEvent(EventLoop::now().count(), "counters", counter_fields(context_.counters, gauges));
  context_.own.log_limit_use();
  if (context_.features.retry_order) {
    context_.ordered_retries.write_log(EventLoop::now());
  }
  context_.server_load.log_use();
  logUploads();
}

void ProxyProcess::logUploads() const {
  const auto& routes = session_.traffic().routes;
  const bool has_uploads = std::any_of(routes.begin(), routes.end(), [](const TrafficRoute& route) {
    return route.kind == RequestKind::kUpload;
  });
  if (has_uploads) {
    logEvent(EventLoop::now().count(), "uploads",
             {{"held_bytes", std::to_string(context_.uploads.held().value)},
              {"streamed", std::to_string(context_.uploads.stopped())}});
  }
}

}  // namespace ramppond
