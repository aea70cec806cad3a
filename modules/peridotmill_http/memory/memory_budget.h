#ifndef PERIDOTMILL_HTTP_MEMORY_MEMORY_BUDGET_H_
#define PERIDOTMILL_HTTP_MEMORY_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "peridotmill_http/memory/memory_limits.h"

namespace peridotmill {

// Numbers of requests and connections that made room for others, by cause.
struct MemoryCounters {
  // Requests whose head or body was not complete, refused to make room.
  uint64_t refused_unfinished = 0;
  // Requests refused because there was no room for them.
  uint64_t refused_new = 0;
  // Connections without an open request, closed for a new connection.
  uint64_t closed_idle = 0;

  friend bool operator==(const MemoryCounters&,
                         const MemoryCounters&) = default;
};

// What the connections and requests of a process hold. Shared by its servers;
// outlives all their charges.
class MemoryBudget {
 public:
  explicit MemoryBudget(MemoryLimits limits) : limits_(limits) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  const MemoryLimits& limits() const { return limits_; }
  size_t used_bytes() const { return used_bytes_; }
  // The highest used_bytes() so far.
  size_t peak_bytes() const { return peak_bytes_; }
  const MemoryCounters& counters() const { return counters_; }
  MemoryCounters& counters() { return counters_; }

 private:
  friend class MemoryCharge;

  void Add(size_t bytes) {
    used_bytes_ += bytes;
    peak_bytes_ = used_bytes_ > peak_bytes_ ? used_bytes_ : peak_bytes_;
  }
  void Subtract(size_t bytes) { used_bytes_ -= bytes; }

  MemoryLimits limits_;
  size_t used_bytes_ = 0;
  size_t peak_bytes_ = 0;
  MemoryCounters counters_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_MEMORY_MEMORY_BUDGET_H_
