#include "standins/peridotmill-standin/logic/prefix_cache.h"

#include "peridotmill_core/maths/random.h"

namespace peridotmill::standin {
namespace {

void Record(PrefixCache& cache, uint64_t hash, bool is_evicted, TimePoint now) {
  cache.events.push_back({now, {++cache.last_sequence, hash, is_evicted}});
  if (cache.events.size() > kMaxCacheEvents) {
    cache.events.pop_front();
  }
}

void Insert(PrefixCache& cache, uint64_t hash, TimePoint now) {
  cache.order.push_front(hash);
  cache.blocks[hash] = cache.order.begin();
  Record(cache, hash, false, now);
  while (cache.blocks.size() > cache.capacity) {
    const uint64_t oldest = cache.order.back();
    cache.order.pop_back();
    cache.blocks.erase(oldest);
    Record(cache, oldest, true, now);
  }
}

}  // namespace

size_t UsePrefix(PrefixCache& cache,
                 const std::vector<uint64_t>& hashes,
                 TimePoint now) {
  size_t hits = 0;
  bool is_hit = true;
  for (const uint64_t hash : hashes) {
    const auto block = cache.blocks.find(hash);
    if (block != cache.blocks.end()) {
      cache.order.splice(cache.order.begin(), cache.order, block->second);
      hits += is_hit ? 1 : 0;
      continue;
    }
    is_hit = false;
    Insert(cache, hash, now);
  }
  return hits;
}

std::vector<CacheEvent> EventsSince(const PrefixCache& cache,
                                    uint64_t since,
                                    Duration lag,
                                    double loss,
                                    uint64_t seed,
                                    TimePoint now) {
  std::vector<CacheEvent> events;
  for (const auto& [time, event] : cache.events) {
    if (event.sequence <= since) {
      continue;
    }
    if (time + lag > now) {
      break;
    }
    if (Random(seed ^ event.sequence).Unit() >= loss) {
      events.push_back(event);
    }
  }
  return events;
}

}  // namespace peridotmill::standin
