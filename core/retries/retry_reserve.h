// Computes the share of a service's retry budget that a retry must leave for more valuable retries.
//
// A retry is more valuable the fewer calls its run still has to make: the last call of a run
// completes the run with one more success, while an earlier call needs a success of each remaining
// call too. So the later a call's position in its run, the less its retry must leave. A client's
// request has no previous work that would be lost.
//
// With the order of retries, the tree of a retry counts first: whether its client can send it again
// after a failure. Inputs: see ordered_retry. Stateless and thread safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/retries/retry_budget.h"

namespace ramppond {

/// Share of the allowed retries for each remaining call. With a smaller share the first calls of
/// runs spend what the last calls need; with a larger one a run of a few calls retries only its
/// last call.
constexpr auto reserve_per_call_to_come = budget_reserve{0.25};
/// Maximum share, so that the first call of a long run may still use a part of the budget.
constexpr auto max_reserve = budget_reserve{0.75};
/// The same as for a call with one remaining call.
constexpr auto reserve_of_clients = budget_reserve{0.25};
/// The same as for a call in the middle of a run of a few calls.
constexpr auto reserve_of_unknown_place = budget_reserve{0.5};

/// Returns the share that a retry must leave. `remaining_calls`: number of calls that the run makes
/// after this one, if the run is known.
constexpr auto reserve_of(bool is_call, std::optional<std::uint32_t> remaining_calls)
    -> budget_reserve {
  if (!is_call) {
    return reserve_of_clients;
  }
  if (!remaining_calls) {
    return reserve_of_unknown_place;
  }
  return {std::min(max_reserve.share, reserve_per_call_to_come.share * *remaining_calls)};
}

/// Classes of the order of retries, the most valuable first.
enum class retry_class : std::uint8_t {
  unrepeatable_tree,  ///< The client of the tree cannot send it again after a failure.
  repeatable_tree,    ///< It can, or the root of the tree is unknown.
  direct,             ///< Sent by a client and not run: the client is told to return, at no cost.
};
constexpr auto retry_classes = std::size_t(3);

/// A retry that is requested from the budget.
struct ordered_retry {
  bool is_call = false;      ///< A call of a server, and not a request that a client sent directly.
  bool has_not_run = false;  ///< No attempt at it may have run.
  bool tree_is_repeatable = true;                               ///< See request_root::repeatable.
  std::optional<std::uint32_t> remaining_calls = std::nullopt;  ///< See reserve_of().
};

/// Reserve of the last call of a tree that its client can repeat; larger than that of any call of a
/// tree that it cannot.
constexpr auto reserve_of_repeatable = budget_reserve{0.9};
/// For each remaining call. With a larger share the first calls of long runs, which are most of the
/// requests, get too few retries.
constexpr auto reserve_per_unrepeatable_call = budget_reserve{0.03};
/// The same for trees that the client can repeat. The forecast bounds what is kept, so a small step
/// is enough for the order.
constexpr auto reserve_per_repeatable_call = budget_reserve{0.01};
/// The longest runs count as if they had so many remaining calls, so that the classes do not
/// overlap.
constexpr auto max_ordered_calls = std::uint32_t(9);
/// A call of an unknown place counts as one in the middle of a run of a few calls.
constexpr auto ordered_calls_of_unknown_place = std::uint32_t(2);
/// Everything that trees are expected to request is kept from direct requests.
constexpr auto reserve_of_direct = budget_reserve{1};
/// Retries that more valuable trees will request within this time are kept for them. With a longer
/// time they are still kept when a short incident has ended; with a shorter one less valuable
/// retries use up the budget of a long incident.
constexpr auto retry_forecast = Duration(milliseconds(2500));

/// Returns the class of a retry. A direct request that may have run is retried only if it is
/// repeatable, and its client cannot be told to return at no cost: it counts as a repeatable tree.
constexpr auto class_of(const ordered_retry& retry) -> retry_class {
  if (!retry.is_call) {
    return retry.has_not_run ? retry_class::direct : retry_class::repeatable_tree;
  }
  return retry.tree_is_repeatable ? retry_class::repeatable_tree : retry_class::unrepeatable_tree;
}

/// Returns what a retry must leave in the order of retries: by its class, then by remaining calls.
constexpr auto reserve_in_order(const ordered_retry& retry) -> budget_reserve {
  const auto retried = class_of(retry);
  if (retried == retry_class::direct) {
    return {reserve_of_direct.share, retry_forecast};
  }
  const auto calls_if_unknown = retry.is_call ? ordered_calls_of_unknown_place : 0;
  const auto calls = std::min(max_ordered_calls, retry.remaining_calls.value_or(calls_if_unknown));
  if (retried == retry_class::unrepeatable_tree) {
    return {reserve_per_unrepeatable_call.share * calls, retry_forecast};
  }
  return {reserve_of_repeatable.share + reserve_per_repeatable_call.share * calls, retry_forecast};
}

}  // namespace ramppond
