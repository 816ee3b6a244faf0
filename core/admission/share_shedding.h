// Decides which share of a caller's requests is refused at the edge because the caller exceeds its
// fair share of a service.
//
// Input: with each answer, the excess that the answering server reported for the caller of the
// request, and the share of the caller's requests that was refused when the request was admitted
// (0 to 1, time in microseconds). Output: the share of a caller's requests to refuse. Owns one
// smoothed excess for each service and caller that has one. No I/O; not thread safe.
//
// The servers of a service each report what exceeded the share there; the mean over their answers
// is the excess over the whole service. They see only what the edge lets pass. The excess is
// therefore taken of the caller's whole demand, by the share refused when the answered request was
// admitted: reports that arrive late are not counted twice. A caller that exceeds no share any more
// is released slowly. The servers' shed levels rise by the requests within their shares only
// (core/admission/server_admission.h), so each request refused here lowers the level for all
// others.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "core/time.h"

namespace ramppond {

/// Thousandths of a caller's requests; see kPeerShare.
struct reported_excess {
  std::uint32_t permille = 0;
};

/// The excess of a request's caller at the server's own queue, 0 to 1.
struct observed_excess {
  double when_judged = 0;  ///< When the request was dispatched, queued or refused.
  double now = 0;          ///< When it is answered.
};

/// Returns what the answer reports: the highest of `own` and of `downstream`, the excess at
/// services further down. A burst has decayed when the last of its requests are answered, and the
/// excess of a caller that grows is not known yet when the first ones are judged.
auto excess_to_report(const observed_excess& own, reported_excess downstream) -> reported_excess;

class share_shedding {
 public:
  /// Records an answer to a request of `caller` to `service`. `refused`: share() when the request
  /// was admitted; 0 for requests that are never refused at the edge.
  void on_answer(const std::string& service, const std::string& caller, reported_excess reported,
                 double refused, TimePoint now);

  /// Returns the share of the caller's requests to `service` to refuse, 0 to 0.8.
  [[nodiscard]] auto share(const std::string& service, const std::string& caller,
                           TimePoint now) const -> double;
  /// Returns the highest excess of the caller over all services, for the proxies further up.
  [[nodiscard]] auto highest(const std::string& caller, TimePoint now) const -> reported_excess;

 private:
  struct smoothed_excess {
    double value = 0;  ///< Share of the caller's whole demand, at the time `reported`.
    TimePoint reported{0};
  };
  static auto value_at(const smoothed_excess& excess, TimePoint now) -> double;
  /// Makes room for another entry, at most once a second.
  void remove_faded(TimePoint now);

  std::map<std::pair<std::string, std::string>, smoothed_excess> known;  ///< By caller, service.
  TimePoint removed_faded{0};
};

}  // namespace ramppond
