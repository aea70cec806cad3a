#ifndef PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_
#define PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace peridotmill {

// Load of one endpoint as it reports it itself; older than it looks.
struct EndpointLoad {
  int32_t running = 0;
  int32_t waiting = 0;
  // Share of the prefix cache or of memory in use, 0 to 1.
  double memory_use = 0;
  bool is_leaving = false;
  // "model@version" of each loaded model, engines only.
  std::vector<std::string> loaded_models;
  // Highest fencing number of an order it has accepted, engines only.
  int64_t fence = 0;
};

// A prefix that entered or left an engine's cache. Events are late and some
// are lost; a gap in the sequence shows it.
struct CacheEvent {
  uint64_t sequence = 0;
  uint64_t prefix_hash = 0;
  bool is_evicted = false;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_PLATFORM_ENDPOINT_LOAD_H_
