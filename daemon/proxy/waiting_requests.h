// The requests of peers that are queued for the local server.
//
// Applies the decisions of core/admission/server_admission.h: dispatches each request in its turn,
// or tells it that its maximum queueing time is over or that it was evicted from the full queue.
// Relies on an event loop and an admission that outlive it, and runs on the loop's thread. Does not
// keep requests alive.
#pragma once

#include <map>
#include <memory>

#include "core/admission/server_admission.h"
#include "net/stream/event_loop.h"

namespace ramppond {

class InboundRequest;

class waiting_requests {
 public:
  waiting_requests(EventLoop& loop, ServerAdmission& admission);

  /// Returns a new id, unique within this proxy.
  auto next_id() -> AdmissionId;

  /// Queues `request`, which the admission told to wait. Its onAdmitted(), onQueueTimeout() or
  /// onEvicted() follows.
  void add(AdmissionId id, std::weak_ptr<InboundRequest> request);

  /// Removes a request whose sender is gone; neither callback follows.
  void withdraw(AdmissionId id);

  /// Dispatches requests for which there is room now, and ends those whose maximum queueing time is
  /// over. Call whenever room becomes free; a timer covers the passing of time.
  void dispatch_ready();

 private:
  auto remove(AdmissionId id) -> std::shared_ptr<InboundRequest>;

  ServerAdmission& admission;
  LoopTimer timer;
  AdmissionId last_id = 0;
  std::map<AdmissionId, std::weak_ptr<InboundRequest>> requests;
};

}  // namespace ramppond
