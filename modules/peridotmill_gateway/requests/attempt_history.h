#ifndef PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
#define PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_

#include <algorithm>
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
    if (IsKnownNotRun(outcome)) {
      refused_.push_back(endpoint);
    } else {
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

  // Lets the endpoints that have refused the request, and `other`, be chosen
  // again.
  void AllowAgain(const EndpointId& other) {
    refused_.push_back(other);
    std::erase_if(tried_, [this](const EndpointId& endpoint) {
      return std::find(refused_.begin(), refused_.end(), endpoint) !=
             refused_.end();
    });
    refused_.clear();
  }

  int attempts() const { return attempts_; }
  const std::vector<EndpointId>& tried() const { return tried_; }
  int possible_runs() const { return possible_runs_; }

 private:
  int attempts_ = 0;
  std::vector<EndpointId> tried_;
  // Those that can't have run the request.
  std::vector<EndpointId> refused_;
  int possible_runs_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REQUESTS_ATTEMPT_HISTORY_H_
