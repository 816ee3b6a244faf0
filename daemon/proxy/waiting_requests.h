// The requests of peers that wait for room at the own server.
//
// Carries out what core/admission/server_admission.h decides: hands each request its turn or tells
// it that its patience has ended. Relies on an event loop and on an admission that outlive it, and
// on whose thread it is used. Holds no request alive.
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

  /// An id for one request, not given before.
  auto next_id() -> AdmissionId;

  /// The admission let `request` wait; its onAdmitted() or onPatienceEnded() follows.
  void add(AdmissionId id, std::weak_ptr<InboundRequest> request);

  /// Its sender is gone: neither follows.
  void withdraw(AdmissionId id);

  /// Begins requests for which there is room now, and ends those that waited too long. To be called
  /// when room came free; time is watched here.
  void pump();

 private:
  auto take(AdmissionId id) -> std::shared_ptr<InboundRequest>;

  ServerAdmission& admission;
  LoopTimer timer;
  AdmissionId last_id = 0;
  std::map<AdmissionId, std::weak_ptr<InboundRequest>> requests;
};

}  // namespace ramppond
