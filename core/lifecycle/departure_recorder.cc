#include "core/lifecycle/departure_recorder.h"

#include <algorithm>
#include <utility>

namespace ramppond {
namespace {

// A server waits a second for the answer to a report; this leaves time for the answer to arrive.
constexpr auto max_wait = milliseconds(900);
// Pause after a call that failed. An election takes several of them.
constexpr auto retry_pause = milliseconds(100);
// Departures that wait to be stored before further reports are refused. Bounds memory; usually one
// server is beside a proxy.
constexpr auto max_pending = std::size_t(64);

}  // namespace

auto departure_recorder::may_process_reports(TimePoint now) const -> bool {
  return this->restored || now - this->started >= max_wait;
}

auto departure_recorder::is_full() const -> bool {
  return this->pending.size() >= max_pending;
}

void departure_recorder::announce(server_departure departure) {
  departure.proxy_address = this->proxy_address;
  this->announced += 1;
  const auto found = this->pending.find(departure.server_incarnation);
  if (found != this->pending.end()) {
    auto& last_sequence = found->second.departure.last_sequence;
    last_sequence = std::max(last_sequence, departure.last_sequence);
    return;
  }
  this->pending[departure.server_incarnation] = {departure, this->announced};
}

auto departure_recorder::verdict(std::uint64_t last_announced, TimePoint received,
                                 TimePoint now) const -> report_verdict {
  const auto is_stored =
      std::none_of(this->pending.begin(), this->pending.end(),
                   [&](const auto& entry) { return entry.second.number <= last_announced; });
  if (is_stored) {
    return report_verdict::acknowledge;
  }
  return now - received < max_wait ? report_verdict::wait : report_verdict::refuse;
}

auto departure_recorder::take_call(TimePoint now) -> std::optional<departure_call> {
  if (this->in_flight || now < this->next_call || !this->has_work()) {
    return std::nullopt;
  }
  if (!this->restored) {
    this->in_flight = read_departures{{this->proxy_address}};
    return this->in_flight;
  }
  auto call = store_departures();
  for (const auto& [incarnation, waiting] : this->pending) {
    call.batch.departures.push_back(waiting.departure);
  }
  this->in_flight = call;
  return this->in_flight;
}

void departure_recorder::on_result(departure_result result, TimePoint now) {
  const auto call = std::exchange(this->in_flight, std::nullopt);
  if (!call || result == departure_result::failed) {
    this->next_call = now + retry_pause;
    return;
  }
  this->next_call = now;
  if (const auto* stored = std::get_if<store_departures>(&*call)) {
    this->on_stored(stored->batch);
  } else {
    this->restored = true;
  }
}

void departure_recorder::on_stored(const departure_batch& batch) {
  for (const auto& departure : batch.departures) {
    const auto found = this->pending.find(departure.server_incarnation);
    // A departure that was announced once more with a higher sequence is stored once more.
    if (found != this->pending.end() &&
        found->second.departure.last_sequence == departure.last_sequence) {
      this->pending.erase(found);
    }
  }
}

}  // namespace ramppond
