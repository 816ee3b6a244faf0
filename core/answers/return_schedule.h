// Return times of refused clients: reserves a part of the capacity to come for clients that return
// at the time in their Retry-After.
//
// Input: every request of a client that a server answered and how long it took (microseconds),
// every request that was refused for lack of capacity, and every request that arrives, with the
// service that is scarce, the rank and the client. Output: for a refused client a time to return,
// that no capacity is expected in the time it can still use, or that core/answers/retry_after.h
// determines the time; for an arriving request whether it returns at its time. Owns the
// reservations, at most max_reservations, and the learned rate of capacity by service and rank.
// Relies on clients to return to the proxy that refused them. No I/O; not thread safe.
//
// The rate at which requests are served under overload is the rate of capacity that this proxy and
// rank get; nothing else of it is known here. A part of it is reserved. Serving the clients with
// reservations takes some time at this rate, and each client returns after a part of that time in
// proportion to the time it can use itself: in a single queue, clients with long deadlines would
// take all places beyond the time that others can use. New requests get the rest, because a
// returning client counts as one rank more urgent when requests are shed
// (core/answers/return_shedding.h) and the shed level rises accordingly. What a client does not use
// goes to new requests in the same way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/time.h"

namespace ramppond {

/// Bounds memory: about 250 bytes each. Remembered clients without a reservation count too.
constexpr auto max_reservations = std::size_t(10000);

/// Clients without a reservation are remembered only while there are fewer entries than this, so
/// that they cannot keep others from getting one.
constexpr auto max_entries_for_refused = max_reservations / 2;

/// Entries with the same digest. Bounds the search at each request, and the reservations of a
/// client that sends its whole deadline again each time, so that it cannot be distinguished from
/// other clients of the same page. Clients beyond it get an unplanned_return.
constexpr auto max_entries_per_request = std::size_t(64);

/// The requests of one rank that need a service compete for the capacity of this rank.
struct scarce_service {
  std::string name;
  std::uint32_t rank = 0;

  friend auto operator<(const scarce_service& left, const scarce_service& right) -> bool {
    return left.rank != right.rank ? left.rank < right.rank : left.name < right.name;
  }
};

/// What is known of the client of a request.
struct client_identity {
  std::string digest;     ///< Of method, host, path with query and tenant.
  TimePoint deadline{0};  ///< When the client stops waiting.
};

/// How a request arrives.
enum class return_arrival : std::uint8_t {
  new_request,  ///< There is no reservation for it.
  early,        ///< Its client was given a later time.
  on_time,      ///< Its client used its reservation.
};

/// The schedule determines no time, since the rate of capacity is unknown or no reservation can be
/// made: core/answers/retry_after.h applies.
struct unplanned_return {};
/// The client has a reservation at this time from now.
struct reserved_return {
  Duration after{0};
};
/// No reservation: capacity is expected at this time from now, which the client cannot use.
struct late_capacity {
  Duration after{0};
};
using return_verdict = std::variant<unplanned_return, reserved_return, late_capacity>;

/// Counts since the start.
struct return_counts {
  std::uint64_t made = 0;     ///< Reservations.
  std::uint64_t kept = 0;     ///< Clients that returned at their time.
  std::uint64_t early = 0;    ///< Requests of clients before their time.
  std::uint64_t missed = 0;   ///< Reservations that were dropped unused.
  std::uint64_t refused = 0;  ///< Clients that were informed that no capacity is expected in time.
};

class return_schedule {
 public:
  /// Records that a request which needs `service` was answered by a server `duration` after its
  /// arrival.
  void on_served(const scarce_service& service, Duration duration, TimePoint now);

  /// Recognises a returning client and uses up its reservation.
  auto on_arrival(const client_identity& client, TimePoint now) -> return_arrival;

  /// Decides on the return of a client that is refused for lack of capacity of `service`. A client
  /// that has an entry gets its time again.
  auto on_refused(const scarce_service& service, const client_identity& client, TimePoint now)
      -> return_verdict;

  /// From now on no reservation is made: this proxy ends before the clients would return.
  void stop() { this->stopped = true; }

  /// Reservations and remembered clients without one.
  [[nodiscard]] auto size() const -> std::size_t { return this->entries.size(); }
  [[nodiscard]] auto counts() const -> const return_counts& { return this->totals; }

 private:
  struct return_entry {
    client_identity client;
    scarce_service service;
    /// False for a client without a reservation, to which no capacity was promised: it is
    /// remembered so that it gains nothing by returning before the time it was given.
    bool has_capacity = true;
  };
  using entry_key = std::pair<TimePoint, std::uint64_t>;  ///< Time of return, number.
  /// What is known of the capacity of one service for one rank.
  struct capacity {
    double served = 0;         ///< Requests, with exponentially decaying weights.
    TimePoint since{0};        ///< First report.
    TimePoint updated{0};      ///< Time of `served`.
    Duration run_time{0};      ///< Smoothed, of served requests.
    Duration usable{0};        ///< Smoothed, that refused clients can use for their return.
    std::size_t reserved = 0;  ///< Reservations that are neither used nor dropped.
  };
  using keys_by_digest = std::multimap<std::string, entry_key>;

  auto capacity_of(const scarce_service& service, TimePoint now) -> capacity&;
  /// Time between two reserved returns; std::nullopt if the rate is unknown or too low to plan.
  [[nodiscard]] static auto interval_of(const capacity& known, TimePoint now)
      -> std::optional<Duration>;
  /// Finds the entry of this client, by its deadline.
  [[nodiscard]] auto own_entry(const client_identity& client) const
      -> keys_by_digest::const_iterator;
  /// Finds a reservation under this digest that is due.
  [[nodiscard]] auto due_entry(const client_identity& client, TimePoint now) const
      -> keys_by_digest::const_iterator;
  /// Returns the verdict of an entry whose time is still to come, if the client has one.
  [[nodiscard]] auto verdict_of_entry(const client_identity& client, TimePoint now) const
      -> std::optional<return_verdict>;
  /// Remembers a client that cannot use the time `after` at which capacity is expected.
  auto refuse_as_late(const scarce_service& service, const client_identity& client, Duration after,
                      TimePoint now) -> late_capacity;
  void insert(TimePoint at, return_entry entry);
  void release(keys_by_digest::const_iterator found);
  /// Removes entries whose time has passed by more than the tolerance.
  void drop_missed(TimePoint now);

  std::map<entry_key, return_entry> entries;  ///< In order of time.
  keys_by_digest by_client;                   ///< By digest.
  std::map<scarce_service, capacity> capacities;
  return_counts totals;
  std::uint64_t next_number = 0;
  bool stopped = false;
};

}  // namespace ramppond
