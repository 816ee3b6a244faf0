// Reports to the leader of the control group what tenants have sent through this proxy, and takes
// its decision on who is limited.
//
// Relies on a session, channels, a gate and a directory that outlive it; on the thread of the event
// loop.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/placement/instance_directory.h"
#include "core/session/proxy_session.h"
#include "core/tenants/quota_limiter.h"
#include "net/stream/control_channels.h"
#include "net/stream/event_loop.h"

namespace ramppond {

class tenant_reports {
 public:
  /// `own_address` names this proxy to the leader.
  tenant_reports(EventLoop& loop, ProxySession& session, ControlChannels& channels,
                 quota_limiter& quotas, const InstanceDirectory& directory,
                 std::string own_address);

  /// Reports now if there is a leader and anything to report, and from then on at an interval.
  void report();
  /// A tenant begins to send far more than its limit: reports ahead of time, unless the last report
  /// is too recent.
  void report_soon();

 private:
  void on_reply(std::uint64_t sequence, const std::optional<ControlReply>& reply, TimePoint asked);

  ProxySession& session;
  ControlChannels& channels;
  quota_limiter& quotas;
  const InstanceDirectory& directory;
  std::string own_address;
  LoopTimer timer;
  TimePoint last_report{0};
};

}  // namespace ramppond
