#include "daemon/proxy/waiting_requests.h"

#include <algorithm>
#include <utility>

#include "daemon/proxy/inbound_request.h"

namespace ramppond {
namespace {

// Minimum delay of the timer, even if the next event is already due.
constexpr auto min_timer_delay = milliseconds(1);

}  // namespace

waiting_requests::waiting_requests(EventLoop& loop, ServerAdmission& admission)
    : admission(admission), timer(loop) {}

auto waiting_requests::next_id() -> AdmissionId {
  this->last_id += 1;
  return this->last_id;
}

void waiting_requests::add(AdmissionId id, std::weak_ptr<InboundRequest> request) {
  this->requests[id] = std::move(request);
  this->dispatch_ready();
}

void waiting_requests::withdraw(AdmissionId id) {
  this->admission.withdraw(id);
  this->requests.erase(id);
}

auto waiting_requests::remove(AdmissionId id) -> std::shared_ptr<InboundRequest> {
  auto request = this->requests[id].lock();
  this->requests.erase(id);
  return request;
}

void waiting_requests::dispatch_ready() {
  const auto now = EventLoop::now();
  for (const auto id : this->admission.takeExpired(now)) {
    const auto request = this->remove(id);
    if (request != nullptr) {
      request->onQueueTimeout();
    }
  }
  for (const auto id : this->admission.takeEvicted()) {
    const auto request = this->remove(id);
    if (request != nullptr) {
      request->onEvicted();
    }
  }
  while (const auto id = this->admission.takeDispatchable(now)) {
    const auto request = this->remove(*id);
    if (request == nullptr) {
      this->admission.onFinished(now, ServerOutcome::kWithdrawn, now, *id);
      this->admission.onNotSent(now);
      continue;
    }
    request->onAdmitted();
  }
  auto next = this->admission.nextExpiry();
  const auto place = this->admission.nextRateToken(now);
  if (place) {
    next = std::min(*place, next.value_or(*place));
  }
  if (next) {
    this->timer.after(std::max<Duration>(*next - now, min_timer_delay),
                      [this] { this->dispatch_ready(); });
  }
}

}  // namespace ramppond
