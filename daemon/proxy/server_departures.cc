#include "daemon/proxy/server_departures.h"

#include <utility>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

// Time in which a reachable leader stores a departure, a slow sync of a disk included. A server
// waits a second, in which a second call must fit.
constexpr auto call_timeout = milliseconds(400);
// Interval of the checks while there is something to store or to read. Bounds the delay of a call
// that is repeated and of a report that is refused.
constexpr auto check_interval = milliseconds(50);

auto request_of(const read_departures& call) -> ControlRequest {
  auto request = ControlRequest();
  request.type = ControlRequestType::kReadDepartures;
  request.proxy_poll = encode(call.query);
  return request;
}

auto request_of(const store_departures& call) -> ControlRequest {
  auto request = ControlRequest();
  request.type = ControlRequestType::kCommand;
  request.command.type = CommandType::kRecordDepartures;
  request.command.records = encode(call.batch);
  return request;
}

// Control members of earlier versions answer that the type of request or command is malformed.
auto result_of(const std::optional<ControlReply>& reply) -> departure_result {
  if (!reply) {
    return departure_result::failed;
  }
  const auto error = reply->error != ErrorKind::kNone ? reply->error : reply->result.error;
  switch (error) {
    case ErrorKind::kNone:
      return departure_result::done;
    case ErrorKind::kMalformedRequest:
      return departure_result::unsupported;
    default:
      return departure_result::failed;
  }
}

}  // namespace

server_departures::server_departures(EventLoop& loop, ProxySession& session,
                                     ControlChannels& channels, own_server& server,
                                     std::string own_address)
    : session(session),
      channels(channels),
      server(server),
      recorder(std::move(own_address), EventLoop::now()),
      timer(loop) {}

void server_departures::when_processable(std::function<void()> process) {
  this->unprocessed.push_back(std::move(process));
  this->check_soon();
}

void server_departures::when_stored(std::function<void(bool stored)> done) {
  this->unanswered.push_back({this->recorder.last_announced(), EventLoop::now(), std::move(done)});
  this->check_soon();
}

void server_departures::announce(const server_departure& departure) {
  this->recorder.announce(departure);
  this->check_soon();
}

void server_departures::check_soon() {
  this->timer.after(Duration(0), [this] { this->check(); });
}

void server_departures::check() {
  if (this->recorder.has_work()) {
    this->timer.after(check_interval, [this] { this->check(); });
  }
  this->process_reports();
  this->answer_reports();
  const auto& leader = this->session.leader();
  if (leader.empty()) {
    return;
  }
  if (const auto call = this->recorder.take_call(EventLoop::now())) {
    this->send(*call);
  }
}

void server_departures::send(const departure_call& call) {
  const auto request =
      std::visit([](const auto& alternative) { return request_of(alternative); }, call);
  this->channels.request(
      this->session.leader(), request, call_timeout,
      [this, call](const std::optional<ControlReply>& reply) { this->on_reply(call, reply); });
}

void server_departures::on_reply(const departure_call& call,
                                 const std::optional<ControlReply>& reply) {
  if (reply) {
    this->session.onLeaderNamed(reply->leader_address);
  }
  const auto result = result_of(reply);
  if (result != departure_result::failed) {
    this->take(call, *reply, result);
  }
  this->recorder.on_result(result, EventLoop::now());
  this->check();
}

void server_departures::take(const departure_call& call, const ControlReply& reply,
                             departure_result result) {
  const auto supported = result == departure_result::done;
  if (const auto* stored = std::get_if<store_departures>(&call)) {
    this->log(stored->batch, supported ? "stored" : "unsupported");
    return;
  }
  const auto acknowledged = decode<departure_batch>(reply.proxy_update);
  if (acknowledged) {
    this->log(*acknowledged, "restored");
    this->server.restore(*acknowledged);
  }
}

void server_departures::process_reports() {
  while (!this->unprocessed.empty() && this->recorder.may_process_reports(EventLoop::now())) {
    const auto process = std::move(this->unprocessed.front());
    this->unprocessed.pop_front();
    process();
  }
}

void server_departures::answer_reports() {
  const auto now = EventLoop::now();
  for (auto& report : std::exchange(this->unanswered, {})) {
    const auto verdict = this->recorder.verdict(report.last_announced, report.received, now);
    if (verdict == report_verdict::wait) {
      this->unanswered.push_back(std::move(report));
    } else {
      report.done(verdict == report_verdict::acknowledge);
    }
  }
}

void server_departures::log(const departure_batch& batch, const char* state) {
  const auto now = EventLoop::now();
  for (const auto& departure : batch.departures) {
    if (this->lines.allow(now.count())) {
      logEvent(now.count(), this->lines.event(),
               {{"instance", departure.server_incarnation}, {"is", state}});
    }
  }
}

}  // namespace ramppond
