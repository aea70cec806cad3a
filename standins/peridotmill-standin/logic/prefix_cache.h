#ifndef STANDINS_LOGIC_PREFIX_CACHE_H_
#define STANDINS_LOGIC_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

// Blocks of prompt prefixes, at most `capacity`; the least recently used block
// is evicted first. Each change is kept as an event.
struct PrefixCache {
  struct TimedEvent {
    TimePoint time;
    CacheEvent event;
  };
  size_t capacity = 4096;
  // Most recently used first.
  std::list<uint64_t> order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks;
  // Bounded by kMaxCacheEvents.
  std::deque<TimedEvent> events;
  uint64_t last_sequence = 0;
};

inline constexpr size_t kMaxCacheEvents = 4096;

// Uses the blocks of one prompt: returns how many leading blocks were cached
// and stores the others.
size_t UsePrefix(PrefixCache& cache,
                 const std::vector<uint64_t>& hashes,
                 TimePoint now);

// Events with a sequence above `since` that are older than `lag`. Each event is
// lost with probability `loss`, decided by its sequence and `seed`.
std::vector<CacheEvent> EventsSince(const PrefixCache& cache,
                                    uint64_t since,
                                    Duration lag,
                                    double loss,
                                    uint64_t seed,
                                    TimePoint now);

}  // namespace peridotmill::standin

#endif  // STANDINS_LOGIC_PREFIX_CACHE_H_
