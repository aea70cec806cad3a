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

// A hint that was not renewed for this long is ignored.
inline constexpr Duration kPrefixHintLifetime = std::chrono::seconds(30);
// At this number of prefixes, a new prefix evicts the oldest.
inline constexpr size_t kMaxPrefixes = 32768;
// Maximum number of endpoints stored per prefix; a new one replaces the oldest.
inline constexpr size_t kMaxHintsPerPrefix = 4;
inline constexpr size_t kMaxPrefixSources = 4096;

// Indicates that an endpoint probably has a prefix in its cache.
struct PrefixHint {
  // Position of the endpoint in PrefixIndex::sources.
  uint32_t source = 0;
  // Value of PrefixSource::generation when the hint was recorded.
  uint32_t generation = 0;
  TimePoint recorded_at{};
};

// An endpoint whose cache events the index applies.
struct PrefixSource {
  EndpointId endpoint;
  uint64_t last_sequence = 0;
  // Incremented to invalidate all earlier hints of the endpoint.
  uint32_t generation = 0;
};

// Records which endpoints may have which prefixes in their caches. Its entries
// are hints: an endpoint may have evicted a prefix that the index lists.
struct PrefixIndex {
  std::unordered_map<uint64_t, std::vector<PrefixHint>> hints;
  // Prefixes and the time of their hints in order of insertion, for eviction
  // and expiry.
  std::deque<std::pair<uint64_t, TimePoint>> insertion_order;
  std::vector<PrefixSource> sources;
  std::unordered_map<EndpointId, uint32_t> source_positions;
};

// Applies an endpoint's cache events in order of their sequence numbers and
// ignores those already applied. After a gap in the sequence an eviction may
// have been missed, so all earlier hints of the endpoint become invalid.
void ApplyCacheEvents(PrefixIndex& index,
                      const EndpointId& endpoint,
                      const std::vector<CacheEvent>& events,
                      TimePoint now);

// Records that an endpoint has a prefix in its cache, according to an attempt
// of this node or to a peer.
void RecordPrefix(PrefixIndex& index,
                  const EndpointId& endpoint,
                  uint64_t prefix_hash,
                  TimePoint at);

// Invalidates all hints of an endpoint, for example after it has restarted.
void InvalidatePrefixes(PrefixIndex& index, const EndpointId& endpoint);

// Returns the endpoints with a valid hint for the prefix, at most
// kMaxHintsPerPrefix.
std::vector<EndpointId> EndpointsWithPrefix(const PrefixIndex& index,
                                            uint64_t prefix_hash,
                                            TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_PREFIXES_PREFIX_INDEX_H_
