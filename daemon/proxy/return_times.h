// Return times of clients that this proxy refuses: applies core/answers/return_schedule to
// forwarded requests.
//
// Input: requests of clients as they arrive, are answered by a server or are refused. Output: how a
// request arrives, the Retry-After of a refusal, and at most one log line a second. Owns the
// schedule. Does nothing while features.return_times is off. Calls of the local server have no
// return times: the server, and not a client, decides on their retry. Used on the event loop's
// thread.
#pragma once

#include <optional>

#include "core/answers/own_answer.h"
#include "core/answers/return_schedule.h"
#include "net/stream/http_head.h"

namespace ramppond {

struct ProxyContext;
struct forwarded_params;

class return_times {
 public:
  /// `context` must outlive this object.
  explicit return_times(const ProxyContext& context) : context(context) {}

  /// Recognises a returning client and uses up its reservation.
  auto on_arrival(const forwarded_params& params, const HttpHead& head) -> return_arrival;

  /// Records that a server answered the request, with success or with an error of the client.
  void on_served(const forwarded_params& params, TimePoint now);

  /// Returns the time in Retry-After of a refusal; std::nullopt if the schedule determines none and
  /// core/answers/retry_after.h applies.
  auto on_refused(const forwarded_params& params, const HttpHead& head, const own_answer& answer,
                  TimePoint now) -> std::optional<Duration>;

  /// From now on no reservation is made.
  void stop() { this->schedule.stop(); }

  /// Writes the log line if anything happened since the last one. Called once a second.
  void log(TimePoint now);

 private:
  const ProxyContext& context;
  return_schedule schedule;
  return_counts logged;  // counts as of the last log line
};

}  // namespace ramppond
