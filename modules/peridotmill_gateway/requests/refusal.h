#ifndef PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_

#include <optional>

#include "peridotmill_core/http/response_writer.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/requests/attempt_history.h"

namespace peridotmill {

// An error response that the node produces itself instead of forwarding one
// from an endpoint.
struct NodeResponse {
  int status = 0;
  Reason reason = Reason::kBadRequest;
  Execution execution = Execution::kUnknown;
  std::optional<Duration> retry_after;
};

// Returns the response to a request that the configuration does not allow, with
// status 401 or 404. The response states that the request has not run.
NodeResponse MakeDenial(int status, Reason reason);

// Returns the response to a request that failed. While no attempt can have run
// the request, it is a 503 with Retry-After that states so. Otherwise it is a
// 502, or a 504 after a timeout, and leaves open whether the request has run.
NodeResponse MakeFailure(const AttemptHistory& history,
                         Reason reason,
                         Duration retry_after);

// Returns the Retry-After time for a refused caller that has `time_left` until
// its deadline: the time in which the queue drains, at least a quarter of a
// second, extended by random jitter, but at most what the caller honours.
Duration BoundRetryAfter(Duration queue_drain_time,
                         Duration time_left,
                         Random& random);

void SendNodeResponse(ResponseWriter& channel, const NodeResponse& response);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_
