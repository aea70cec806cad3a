#ifndef PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_

#include <vector>

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/configuration/gateway_config.h"

namespace peridotmill {

// Records the outcomes of one request's attempts. They decide whether an error
// response may state that the request has not run, and whether the request may
// be sent to another endpoint.
class AttemptHistory {
 public:
  void Add(const EndpointId& endpoint, AttemptOutcome outcome) {
    ++attempts_;
    tried_.push_back(endpoint);
    if (!IsKnownNotRun(outcome)) {
      ++possible_runs_;
    }
  }

  // Returns whether no attempt so far can have run the request.
  bool IsKnownNotRunYet() const { return possible_runs_ == 0; }

  // Returns whether the route allows another attempt: a request that may have
  // run is sent again only if its route allows that, and at most
  // `route.max_attempts` attempts may have run it.
  bool MayRetry(const RouteDefinition& route) const {
    if (possible_runs_ > 0 && !route.IsSafeToRetry()) {
      return false;
    }
    return possible_runs_ < route.max_attempts;
  }

  // Lets all endpoints be chosen again.
  void ForgetTried() { tried_.clear(); }

  int attempts() const { return attempts_; }
  const std::vector<EndpointId>& tried() const { return tried_; }
  int possible_runs() const { return possible_runs_; }

 private:
  int attempts_ = 0;
  std::vector<EndpointId> tried_;
  int possible_runs_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
