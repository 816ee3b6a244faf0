#include "daemon/proxy/retry_order.h"

#include <string>
#include <string_view>

#include "daemon/proxy/forwarded_params.h"

namespace ramppond {
namespace {

struct class_names {
  std::string_view granted;
  std::string_view denied;
};

// Field names of the log event, in the order of retry_class.
constexpr auto names =
    std::array<class_names, retry_classes>{{{"unrepeatable_granted", "unrepeatable_denied"},
                                            {"repeatable_granted", "repeatable_denied"},
                                            {"direct_granted", "direct_denied"}}};

}  // namespace

auto ordered_retry_of(const forwarded_params& params, bool has_not_run) -> ordered_retry {
  const auto repeatable = !params.root || params.root->repeatable;
  return {params.is_call, has_not_run, repeatable, params.attributed.remaining_calls};
}

auto reserve_for(const ordered_retry& retry, bool order_is_active) -> budget_reserve {
  return order_is_active ? reserve_in_order(retry)
                         : reserve_of(retry.is_call, retry.remaining_calls);
}

void retry_order_totals::record(retry_class retried, bool granted) {
  auto& counted = this->by_class[static_cast<std::size_t>(retried)];
  (granted ? counted.granted : counted.denied) += 1;
  this->changed = true;
}

auto retry_order_totals::fields() const -> std::vector<EventField> {
  auto fields = std::vector<EventField>();
  for (auto i = std::size_t(0); i < retry_classes; ++i) {
    fields.push_back({names[i].granted, std::to_string(this->by_class[i].granted)});
    fields.push_back({names[i].denied, std::to_string(this->by_class[i].denied)});
  }
  return fields;
}

void retry_order_totals::write_log(TimePoint now) {
  if (this->changed) {
    logEvent(now.count(), "retry_order", this->fields());
    this->changed = false;
  }
}

}  // namespace ramppond
