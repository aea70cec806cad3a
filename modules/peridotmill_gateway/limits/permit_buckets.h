#ifndef PERIDOTMILL_GATEWAY_LIMITS_PERMIT_BUCKETS_H_
#define PERIDOTMILL_GATEWAY_LIMITS_PERMIT_BUCKETS_H_

#include <deque>
#include <map>
#include <optional>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/registry/endpoint_registration.h"
#include "peridotmill_gateway/registry/request_rate.h"

namespace peridotmill {

// A node's request for permits to call an endpoint, with the limit that the
// node knows. Unset limits stand for none.
struct PermitRequest {
  EndpointIncarnation endpoint;
  std::optional<RequestRate> limit;
  TimePoint limit_observed_at;
  int count = 0;
};

struct PermitGrant {
  EndpointIncarnation endpoint;
  // The lowest limit that nodes have observed lately.
  std::optional<RequestRate> limit;
  // When a limit, or none, was last observed.
  TimePoint limit_observed_at;
  int count = 0;
  // Time until the next permit can be expected, if there are fewer than
  // requested.
  Duration retry_after = Duration::zero();
};

// The permits of one endpoint.
struct PermitBucket {
  struct Observation {
    TimePoint at;
    std::optional<RequestRate> limit;
  };
  // The latest observed limits, oldest first.
  std::deque<Observation> observations;
  // Permits that can be granted at `refilled_at`.
  double permits = 0;
  TimePoint refilled_at;
  // When the bucket was created, or used again after a pause.
  TimePoint opened_at;
  // Requests in the last second, about, that got too few permits. Nodes ask
  // about once a second, so this is the number of nodes that wait.
  double unmet_requests = 0;
};

// The permits that this node grants as the coordinator of an endpoint's limit.
struct PermitBuckets {
  std::map<EndpointIncarnation, PermitBucket> by_endpoint;
};

// Grants what the endpoint's limit allows now. Together with a second
// coordinator, which may still grant permits while nodes see different
// registrations, and with the permits that a former one has granted, all nodes
// stay within one and a half times the limit: a bucket starts empty and fills
// slowly at first.
PermitGrant GrantPermits(PermitBuckets& buckets,
                         const PermitRequest& request,
                         TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_LIMITS_PERMIT_BUCKETS_H_
