#ifndef PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_

#include <optional>

#include "peridotmill_core/http/response_writer.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/requests/attempt_history.h"

namespace peridotmill {

// An answer that the node makes itself in place of an endpoint's.
struct NodeAnswer {
  int status = 0;
  Reason reason = Reason::kBadRequest;
  Execution execution = Execution::kUnknown;
  std::optional<Duration> retry_after;
};

// For requests that the configuration does not allow: 401, 404.
NodeAnswer MakeDenial(int status, Reason reason);

// 503 with Retry-After while no attempt can have run the request. Otherwise
// 502, or 504 after a timeout, which promise nothing.
NodeAnswer MakeFailure(const AttemptHistory& history,
                       Reason reason,
                       Duration retry_after);

void SendNodeAnswer(ResponseWriter& channel, const NodeAnswer& answer);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_REFUSAL_H_
