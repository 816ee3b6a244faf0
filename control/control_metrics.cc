#include "control/control_metrics.h"

namespace ramppond {

MetricsPage controlMetrics(const ControlCore& core, const RaftStorage& storage,
                           std::uint64_t polls_refused, TimePoint now) {
  MetricsPage page;
  const ControlStatus status = core.status(now);
  const ControlCounters& counters = core.counters();
  std::uint64_t silent = 0;
  constexpr std::uint64_t kSilentMs = 5000;  // Also named in the help text of the metric below.
  for (const MemberStatus& member : status.members) {
    const bool self = member.member.id == status.self;
    const bool leads = core.raft().role() == RaftRole::kLeader;
    silent += leads && !self && (!member.heard || member.silent_ms > kSilentMs) ? 1 : 0;
  }
  page.gauge("control_leader", "1 on the leader.", core.raft().role() == RaftRole::kLeader ? 1 : 0);
  page.gauge("control_authoritative", "0 while no leader is heard.",
             core.authoritative(now) ? 1 : 0);
  page.gauge("control_term", "Raft term.", static_cast<double>(status.term));
  page.gauge("control_commit_index", "Committed log index.", static_cast<double>(status.commit));
  page.gauge("control_members", "Members of the group.",
             static_cast<double>(status.members.size()));
  page.gauge("control_members_silent", "Members the leader has not heard for 5 s.",
             static_cast<double>(silent));
  page.gauge("control_held_polls", "Polls of daemons that wait for changes.",
             static_cast<double>(core.heldPolls()));
  page.gauge("control_servers_listed", "Servers on the platform's list.",
             static_cast<double>(core.listedServers()));
  page.gauge("control_sessions", "Daemons known.", static_cast<double>(status.sessions));
  page.gauge("control_claims", "At-most-once claims remembered.",
             static_cast<double>(status.claims));
  page.gauge("control_log_bytes", "Size of the log file.", static_cast<double>(storage.logBytes()));
  page.gauge("control_snapshot_bytes", "Size of the snapshot file.",
             static_cast<double>(storage.snapshotBytes()));
  page.counter("control_log_syncs_total", "Syncs of the log.", storage.syncs());
  page.counter("control_polls_total", "Polls of daemons.", counters.polls);
  page.counter("control_polls_refused_total", "Polls refused because too many waited.",
               polls_refused);
  page.counter("control_pushes_total", "Configurations handed out.", counters.configuration_pushes);
  page.counter("control_commands_total", "Commands proposed.", counters.commands);
  page.counter("control_claims_total", "Claims, completions and releases.", counters.claims);
  page.counter("control_snapshots_total", "Snapshots taken.", counters.snapshots);
  page.counter("control_elections_won_total", "Elections won.", counters.elections_won);
  page.addProcessMetrics();
  return page;
}

}  // namespace ramppond
