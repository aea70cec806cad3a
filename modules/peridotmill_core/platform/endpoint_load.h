#ifndef PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_
#define PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace peridotmill {

// Load that an endpoint reports about itself. The report is out of date when it
// arrives.
struct EndpointLoad {
  // Calls that the endpoint executes, and calls in its queue.
  int32_t running = 0;
  int32_t waiting = 0;
  // Fraction of the prefix cache or of memory in use, 0 to 1.
  double memory_use = 0;
  bool is_leaving = false;
  // "model@version" of each loaded model; reported by engines only.
  std::vector<std::string> loaded_models;
  // Highest fencing number among the orders that the endpoint has accepted;
  // reported by engines only.
  int64_t fence = 0;
};

// Reports that a prefix was added to an engine's cache or evicted from it.
// Events may be delayed or lost; a gap in `sequence` reveals a loss.
struct CacheEvent {
  uint64_t sequence = 0;
  uint64_t prefix_hash = 0;
  bool is_evicted = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_
