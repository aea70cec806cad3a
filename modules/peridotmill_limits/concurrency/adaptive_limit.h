#ifndef PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_
#define PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

inline constexpr size_t kLatencyClasses = 8;
inline constexpr size_t kMaxLimits = 4096;

// Smoothed latency of one size class and its recent minimum, in milliseconds.
struct LatencyBaseline {
  double smoothed = 0;
  int32_t samples = 0;
  // Minima of the present and the previous window, so that the minimum rises
  // again when the endpoint has become slower for good.
  double minimum = 0;
  double previous_minimum = 0;
  TimePoint window_started{};
};

// How many attempts an endpoint takes before its latency grows, learned by
// additive increase and multiplicative decrease.
struct AdaptiveLimit {
  double limit = 8;
  double most = 32;
  // Smoothed load that other nodes put on the endpoint.
  double foreign_load = 0;
  TimePoint decreased_at{};
  std::array<LatencyBaseline, kLatencyClasses> baselines = {};
};

// Limits of all endpoints, at most kMaxLimits.
using AdaptiveLimits = std::unordered_map<EndpointId, AdaptiveLimit>;

AdaptiveLimit MakeAdaptiveLimit(const Pool& pool);

// The endpoint's limit; made from the pool's first guess when not known.
AdaptiveLimit& GetOrCreateLimit(AdaptiveLimits& limits,
                                const EndpointId& endpoint,
                                const Pool& pool);

// Learns from a completed attempt. `in_flight` counts this node's attempts at
// the endpoint before the attempt ended. For streams, give the time to the
// first token, which does not depend on the length of the output.
void RecordLatency(AdaptiveLimit& limit,
                   uint8_t size_class,
                   Duration latency,
                   int32_t in_flight,
                   TimePoint now);

// The endpoint refused a call because it is overloaded.
void RecordOverload(AdaptiveLimit& limit, TimePoint now);

// Learns what other nodes put on the endpoint: running and waiting calls of a
// report without this node's own at that time.
void RecordOtherNodesLoad(AdaptiveLimit& limit, double foreign_load);

// Attempts that this node may have open: what the others leave, at least 1.
int32_t EffectiveLimit(const AdaptiveLimit& limit);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_CONCURRENCY_ADAPTIVE_LIMIT_H_
