#include "daemon/daemon_metrics.h"

namespace ramppond {

MetricsPage daemonMetrics(const DaemonCore& core) {
  MetricsPage page;
  const InboundCounters& in = core.inbound().counters();
  const OutboundCounters& out = core.outbound().counters();
  const FrontCounters& front = core.frontCounters();
  const ControlSessionCounters& session = core.session().counters();
  page.counter("front_requests_total", "Requests of callers.", front.requests);
  page.counter("front_shed_total",
               "Requests refused at the front because a downstream service is overloaded.",
               front.shed);
  page.counter("front_refused_total", "Requests refused at the front for other reasons.",
               front.refused);
  page.counter("front_cancelled_total", "Requests whose caller disconnected.", front.cancelled);
  page.counter("egress_without_context_total",
               "Calls of the back end that belong to no call in progress.",
               front.egress_without_context);
  page.counter("inbound_received_total", "Calls received for the local back end.", in.received);
  page.counter("inbound_dispatched_total", "Calls dispatched to the back end.", in.dispatched);
  page.counter("inbound_answered_total", "Calls the back end answered.", in.answered);
  page.counter("inbound_refused_overload_total", "Calls refused because of overload.",
               in.refused_overload);
  page.counter("inbound_refused_deadline_total", "Calls refused because of their deadline.",
               in.refused_deadline);
  page.counter("inbound_refused_draining_total", "Calls refused while draining.",
               in.refused_draining);
  page.counter("inbound_duplicates_total", "Duplicate calls, refused.", in.duplicates);
  page.counter("inbound_cancelled_total", "Calls whose caller disconnected.", in.cancelled);
  page.counter("claims_denied_total", "Claims denied because another attempt held them.",
               in.claims_denied);
  page.counter("claims_timed_out_total", "Claims without a quorum.", in.claims_timed_out);
  page.counter("outbound_calls_total", "Calls made.", out.started);
  page.counter("outbound_attempts_total", "Attempts sent.", out.attempts);
  page.counter("outbound_retries_total", "Attempts after the first.", out.retries);
  page.counter("outbound_retries_denied_total", "Retries not allowed.", out.retries_denied);
  page.counter("outbound_late_answers_total", "Answers to closed attempts.", out.late_answers);
  page.counter("outbound_mismatched_answers_total", "Answers that failed the check.",
               out.mismatched_answers);
  page.counter("outbound_no_server_total", "Calls without a server.", out.no_server);
  page.counter("control_polls_total", "Polls of control members.", session.polls);
  page.counter("control_poll_failures_total", "Polls that failed.", session.poll_failures);
  page.counter("control_upstream_changes_total", "Changes of control member.",
               session.upstream_changes);
  page.counter("configurations_taken_total", "Newer configurations accepted.",
               session.configurations_taken);
  page.counter("configurations_refused_total", "Older configurations, refused.",
               session.configurations_refused);
  page.gauge("in_flight", "Calls at the back end.", static_cast<double>(core.inbound().inFlight()));
  page.gauge("queued", "Calls waiting for a slot.", static_cast<double>(core.inbound().queued()));
  page.gauge("concurrency_limit", "Maximum number of calls at the back end at a time.",
             core.inbound().concurrencyLimit());
  page.gauge("rate_limit", "Limit in calls per second that the back end set; 0 for none.",
             core.inbound().rateLimit().value_or(request_rate{}).per_second);
  page.gauge("admission_cut", "Calls of a priority level above this are refused.",
             core.inbound().cut());
  page.gauge("draining", "1 while draining: new calls are refused.",
             core.inbound().draining() ? 1 : 0);
  page.gauge("configuration_index", "Log index of the version in force.",
             static_cast<double>(core.session().configuration().version.index));
  page.gauge("configuration_stale", "1 until a quorum confirmed the version.",
             core.session().stale() ? 1 : 0);
  page.addProcessMetrics();
  return page;
}

}  // namespace ramppond
