#ifndef PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_
#define PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Number of request size classes with a latency baseline of their own.
inline constexpr size_t kLatencyClassCount = 8;
inline constexpr size_t kMaxEndpointLimits = 4096;

// Smoothed latency of one size class, and its recent minimum.
struct LatencyBaseline {
  double smoothed_ms = 0;
  int32_t samples = 0;
  // Minima of the present and the previous window. Older minima are discarded,
  // so that the minimum rises again after a permanent slowdown of the endpoint.
  double minimum_ms = 0;
  double previous_minimum_ms = 0;
  TimePoint window_started_at{};
};

// Limit of concurrent attempts to one endpoint. Additive increase and
// multiplicative decrease keep it near the concurrency at which the endpoint's
// latency starts to grow.
struct AdaptiveLimit {
  // Limit for the attempts of all nodes together.
  double limit = 8;
  double max_limit = 32;
  // Smoothed number of calls that other nodes have at the endpoint.
  double other_nodes_load = 0;
  TimePoint decreased_at{};
  std::array<LatencyBaseline, kLatencyClassCount> baselines = {};
};

// Limits by endpoint; at most kMaxEndpointLimits entries.
using AdaptiveLimits = std::unordered_map<EndpointId, AdaptiveLimit>;

// Returns a limit that starts at the pool's configured concurrency.
AdaptiveLimit MakeAdaptiveLimit(const Pool& pool);

// Returns the endpoint's limit. Adds one that starts at the pool's configured
// concurrency if the endpoint has none.
AdaptiveLimit& GetOrCreateLimit(AdaptiveLimits& limits,
                                const EndpointId& endpoint,
                                const Pool& pool);

// Adapts the limit to the latency of a completed attempt. `in_flight` is the
// number of this node's attempts at the endpoint just before this attempt
// ended. For streams, pass the time to the first token, which does not depend
// on the length of the output.
void RecordLatency(AdaptiveLimit& limit,
                   uint8_t size_class,
                   Duration latency,
                   int32_t in_flight,
                   TimePoint now);

// Decreases the limit after the endpoint refused a call because of overload.
void RecordOverload(AdaptiveLimit& limit, TimePoint now);

// Updates the load that other nodes put on the endpoint. `other_nodes_load` is
// the number of running and waiting calls in the endpoint's report, without the
// calls that this node had there at that time.
void RecordOtherNodesLoad(AdaptiveLimit& limit, double other_nodes_load);

// Returns the maximum number of this node's attempts in flight at the endpoint:
// the limit minus the load of other nodes, at least 1.
int32_t EffectiveLimit(const AdaptiveLimit& limit);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_
