#include "daemon/proxy/return_times.h"

#include <algorithm>
#include <string>
#include <vector>

#include "common/event_log.h"
#include "core/crash_evidence/request_digest.h"
#include "core/overloaded.h"
#include "daemon/proxy/forwarded_params.h"
#include "daemon/proxy/proxy_context.h"

namespace ramppond {
namespace {

auto identity_of(const forwarded_params& params, const HttpHead& head) -> client_identity {
  const auto tenant = params.tenant == nullptr ? std::string_view() : params.tenant->name;
  const auto digest = digest_of({head.method, head.get("Host"), head.target, tenant, {}});
  return {format_digest(digest), params.client_deadline};
}

/// Returns the service whose lack of capacity caused the refusal, or nullptr for another cause. A
/// service that refuses requests without reporting an overload has capacity: its served rate says
/// nothing about it.
auto scarce_service_of(const forwarded_params& params, const own_answer& answer,
                       const std::vector<service_overload>& below) -> const std::string* {
  switch (answer.kind) {
    case own_answer_kind::downstream_overload:
      return &answer.detail;
    case own_answer_kind::attempts_not_run:
    case own_answer_kind::no_server:
    case own_answer_kind::deadline_not_run: {
      const bool scarce = std::any_of(below.begin(), below.end(), [&](const auto& overload) {
        return overload.service == params.service;
      });
      return scarce ? &params.service : nullptr;
    }
    default:
      return nullptr;
  }
}

auto operator==(const return_counts& left, const return_counts& right) -> bool {
  return left.made == right.made && left.kept == right.kept && left.early == right.early &&
         left.missed == right.missed && left.refused == right.refused;
}

}  // namespace

auto return_times::on_arrival(const forwarded_params& params, const HttpHead& head)
    -> return_arrival {
  if (!this->context.features.return_times || this->schedule.size() == 0) {
    return return_arrival::new_request;
  }
  return this->schedule.on_arrival(identity_of(params, head), params.received);
}

void return_times::on_served(const forwarded_params& params, TimePoint now) {
  if (!this->context.features.return_times || params.is_call) {
    return;
  }
  const auto duration = now - params.received;
  this->schedule.on_served({params.service, params.rank}, duration, now);
  for (const auto& overload : this->context.overload.of(params.route->name, now)) {
    if (overload.service != params.service) {
      this->schedule.on_served({overload.service, params.rank}, duration, now);
    }
  }
}

auto return_times::on_refused(const forwarded_params& params, const HttpHead& head,
                              const own_answer& answer, TimePoint now) -> std::optional<Duration> {
  if (!this->context.features.return_times || params.is_call || params.route == nullptr) {
    return std::nullopt;
  }
  const auto below = this->context.overload.of(params.route->name, now);
  const auto* service = scarce_service_of(params, answer, below);
  if (service == nullptr) {
    return std::nullopt;
  }
  const auto verdict =
      this->schedule.on_refused({*service, params.rank}, identity_of(params, head), now);
  return std::visit(
      overloaded{[](const unplanned_return&) { return std::optional<Duration>(); },
                 [](const auto& planned) { return std::optional<Duration>(planned.after); }},
      verdict);
}

void return_times::log(TimePoint now) {
  const auto& counts = this->schedule.counts();
  if (!this->context.features.return_times || counts == this->logged) {
    return;
  }
  this->logged = counts;
  const auto text = [](std::uint64_t number) { return std::to_string(number); };
  logEvent(now.count(), "return_times",
           {{"entries", text(this->schedule.size())},
            {"made", text(counts.made)},
            {"kept", text(counts.kept)},
            {"early", text(counts.early)},
            {"missed", text(counts.missed)},
            {"no_capacity_in_time", text(counts.refused)}});
}

}  // namespace ramppond
