// Divides the time of one server's slots fairly among the callers that compete for it.
//
// Input: each request with its rank, its caller, its expected service time (microseconds) and the
// number of usable slots; when it leaves the queue; how long it held a slot. Output: whether a
// request is within its caller's share or beyond it, and the part of each caller's recent work that
// is beyond its share. Owns the account of each caller and the requests that have not ended. Relies
// on one on_ended() for each on_dispatched() or on_queued(). No I/O; not thread safe.
//
// The recent work of a caller is the slot time that it asked for, decaying with its age. The slots
// are divided among the callers of the most urgent rank by water-filling: a caller that asks for
// less than an equal part leaves the rest to the others (max-min fairness). What is left goes to
// the next rank. Of a caller that asks for more than its part, a request is within its share
// whenever its deficit counter allows it (as in deficit round robin; Shreedhar and Varghese, 1995),
// so that the work within its share is at most its part.
//
// The volume of equal callers varies at random. A caller that exceeds an equal part by no more than
// such a variation is therefore within its share.
//
// Demand is measured over a second, not by the requests that are open at the moment: those of most
// callers are few, and a burst of three would look like an excess. The division is renewed ten
// times a second among the callers of the last seconds, which adds O(log callers) to each request.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/time.h"

namespace ramppond {

/// Whom a request is charged to. Callers compete within a rank.
struct share_key {
  std::uint32_t rank = 0;
  std::string caller;  ///< See caller_name() in core/request_root.h, or a service.
};

inline auto operator<(const share_key& left, const share_key& right) -> bool {
  return std::tie(left.rank, left.caller) < std::tie(right.rank, right.caller);
}

enum class share_standing : std::uint8_t { within, beyond };

/// For the log.
struct share_summary {
  std::size_t callers = 0;         ///< With recent requests.
  std::size_t callers_beyond = 0;  ///< Of these, beyond their shares.
  std::string largest;             ///< The caller with the most recent work.
  double largest_share = 0;        ///< Its part of the recent work, 0 to 1.
  std::uint64_t refused = 0;       ///< Requests refused in favour of other callers since the start.
};

class fair_shares {
 public:
  /// Identifies one request; see AdmissionId.
  using request_id = std::uint64_t;

  /// Judges a new request that will hold a slot for `cost` and adds it to the recent work of its
  /// caller. `capacity`: slots in use when the server is full.
  auto judge(const share_key& key, Duration cost, double capacity, TimePoint now) -> share_standing;

  /// A request was dispatched without having been queued.
  void on_dispatched(request_id id, const share_key& key, Duration cost);
  /// A request was queued.
  void on_queued(request_id id, const share_key& key, Duration cost, TimePoint now);
  /// A queued request was dispatched.
  void on_dequeued(request_id id);
  /// A request left the queue without having been dispatched. Unknown requests are ignored.
  void on_unserved(request_id id);
  /// A dispatched request ended after it held a slot for `used`. Unknown requests are ignored.
  void on_ended(request_id id, Duration used, TimePoint now);
  /// A request was refused, or its wait has ended, because of requests of other callers.
  void on_refused_for_others() { this->refused += 1; }

  /// Whether no other caller of the rank has sent a request recently.
  [[nodiscard]] auto is_alone(const share_key& key, TimePoint now) const -> bool;
  /// Whether requests of several callers of this rank are queued.
  [[nodiscard]] auto is_contended(std::uint32_t rank) const -> bool;
  /// Whether requests of other callers of the same rank are queued.
  [[nodiscard]] auto has_others_queued(const share_key& key) const -> bool;
  /// Part of the caller's recent work that is beyond its share, 0 to 1. A caller that is alone has
  /// none, nor has any while no requests are queued.
  [[nodiscard]] auto excess(const share_key& key, TimePoint now) const -> double;
  /// Number of callers tracked.
  [[nodiscard]] auto callers() const -> std::size_t { return this->accounts.size(); }
  /// Visits all callers: for the log only.
  [[nodiscard]] auto summary(TimePoint now) const -> share_summary;

 private:
  struct account {
    const share_key* key = nullptr;
    std::uint64_t idle_number = 0;  ///< Its position in `idle` while it has no open requests.
    std::size_t open = 0;           ///< Requests queued or in flight.
    std::size_t queued = 0;
    double work = 0;       ///< Recent work in microseconds of a slot, at the time `updated`.
    double last_cost = 0;  ///< Of its latest request.
    double deficit = 0;    ///< Requests within its share that it may still send.
    TimePoint updated{0};
    [[nodiscard]] auto work_at(TimePoint now) const -> double;
  };
  struct rank_state {
    /// A caller with more recent work is beyond its share.
    double fair_work = std::numeric_limits<double>::infinity();
    double equal_work = 0;               ///< What each caller gets if all ask for it.
    bool is_overloaded_by_most = false;  ///< Most of its callers are beyond their shares.
    std::size_t accounts = 0;
    std::size_t queued_callers = 0;
    const account* latest = nullptr;  ///< Caller of the latest request.
    TimePoint latest_seen{0};
    std::optional<TimePoint> other_seen;  ///< Latest request of any other caller.
  };
  struct open_request {
    account* caller = nullptr;
    Duration cost{0};
    bool queued = false;
  };
  struct demand {
    double work = 0;
    std::uint32_t rank = 0;
  };

  auto account_of(const share_key& key) -> account*;
  auto rank_of(const account& caller) -> rank_state& { return this->ranks[caller.key->rank]; }
  void become_idle(account& caller);
  void evict_idle();
  void open(request_id id, const share_key& key, Duration cost, bool queued);
  void leave_queue(open_request& request);
  void close(std::map<request_id, open_request>::iterator request);
  /// Renews the division of the slots if it is due.
  void divide(double capacity, TimePoint now);
  /// Removes faded callers from `recent` and returns the demands of the others, by rank and work.
  auto recent_demands(TimePoint now) -> std::vector<demand>;
  static auto excess_in(const rank_state& rank, const account& caller, TimePoint now) -> double;
  static auto alone_in(const rank_state& rank, const account* caller, TimePoint now) -> bool;
  static void note_offer(rank_state& rank, const account& caller, TimePoint now);

  std::map<share_key, account> accounts;
  std::map<std::uint32_t, rank_state> ranks;
  std::map<request_id, open_request> requests;
  std::map<std::uint64_t, account*> idle;  ///< Callers without open requests, longest idle first.
  std::set<account*> recent;               ///< Callers with recent work.
  std::optional<TimePoint> last_queued;    ///< When a request was queued last.
  TimePoint divided{0};
  std::uint64_t next_idle_number = 0;
  std::uint64_t refused = 0;
};

}  // namespace ramppond
