// Reports the tenants' usage of this proxy to the leader of the control group, and applies its
// decision on which tenants are limited.
//
// Relies on a session, channels, a quota gate and a directory that outlive it. Used on the event
// loop's thread.
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
  /// `own_address` identifies this proxy to the leader.
  tenant_reports(EventLoop& loop, ProxySession& session, ControlChannels& channels,
                 quota_limiter& quotas, const InstanceDirectory& directory,
                 std::string own_address);

  /// Reports now if a leader is known and there is anything to report, and periodically from then
  /// on.
  void report();
  /// Reports early because a tenant sends far more than its limit, unless the last report is too
  /// recent.
  void report_soon();

 private:
  void on_reply(std::uint64_t sequence, const std::optional<ControlReply>& reply,
                TimePoint requested_at);

  ProxySession& session;
  ControlChannels& channels;
  quota_limiter& quotas;
  const InstanceDirectory& directory;
  std::string own_address;
  LoopTimer timer;
  TimePoint last_report{0};
};

}  // namespace ramppond
