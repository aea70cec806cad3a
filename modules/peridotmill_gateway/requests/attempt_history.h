#ifndef PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_

#include <vector>

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// What is known of the attempts of one request. Whether a refusal may say that
// the request has not run, and whether it may be sent again, follow from it.
class AttemptHistory {
 public:
  void Add(const EndpointId& endpoint, AttemptOutcome outcome) {
    tried_.push_back(endpoint);
    if (!IsKnownNotRun(outcome)) {
      ++possible_runs_;
    }
  }

  // No attempt can have run the request.
  bool IsKnownNotRunYet() const { return possible_runs_ == 0; }

  // Whether the route's rules allow one more attempt.
  bool MayTryAgain(const RouteDefinition& route) const {
    if (possible_runs_ > 0 && !route.IsSafeToRetry()) {
      return false;
    }
    return possible_runs_ < route.max_attempts;
  }

  const std::vector<EndpointId>& tried() const { return tried_; }
  int possible_runs() const { return possible_runs_; }

 private:
  std::vector<EndpointId> tried_;
  int possible_runs_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
