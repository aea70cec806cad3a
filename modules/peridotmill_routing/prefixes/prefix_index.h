#ifndef PERIDOTMILL_ROUTING_PREFIXES_PREFIX_INDEX_H_
#define PERIDOTMILL_ROUTING_PREFIXES_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

inline constexpr Duration kPrefixHintExpiry = std::chrono::seconds(30);
// Prefixes beyond this number displace the oldest.
inline constexpr size_t kMaxPrefixes = 32768;
// Endpoints remembered per prefix.
inline constexpr size_t kMaxHintsPerPrefix = 4;
inline constexpr size_t kMaxPrefixSources = 4096;

// Suggests that an endpoint holds a prefix in its cache.
struct PrefixHint {
  uint32_t source = 0;
  // Value of PrefixSource::generation when the hint was made.
  uint32_t generation = 0;
  TimePoint at{};
};

// An endpoint whose cache events are followed.
struct PrefixSource {
  EndpointId endpoint;
  uint64_t last_sequence = 0;
  // Grows when all earlier hints of the endpoint become doubtful.
  uint32_t generation = 0;
};

// Which endpoints may hold which prefixes. Never authoritative.
struct PrefixIndex {
  std::unordered_map<uint64_t, std::vector<PrefixHint>> hints;
  // Prefixes in order of insertion, for displacement and expiry.
  std::deque<std::pair<uint64_t, TimePoint>> order;
  std::vector<PrefixSource> sources;
  std::unordered_map<EndpointId, uint32_t> source_positions;
};

// Applies events in order of their sequence. Late events are ignored. After a
// gap an eviction may have been missed, so all earlier hints of the endpoint
// are dropped.
void ApplyCacheEvents(PrefixIndex& index,
                      const EndpointId& endpoint,
                      const std::vector<CacheEvent>& events,
                      TimePoint now);

// Notes that an endpoint holds a prefix, from an own attempt or a peer.
void RecordPrefix(PrefixIndex& index,
                  const EndpointId& endpoint,
                  uint64_t prefix_hash,
                  TimePoint at);

// Drops what is known of an endpoint's cache, after a restart for example.
void ForgetPrefixes(PrefixIndex& index, const EndpointId& endpoint);

// Endpoints with a live hint for the prefix; at most kMaxHintsPerPrefix.
std::vector<EndpointId> EndpointsWithPrefix(const PrefixIndex& index,
                                            uint64_t prefix_hash,
                                            TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_PREFIXES_PREFIX_INDEX_H_
