#include "peridotmill_http/memory/memory_limits.h"

#include <algorithm>

namespace peridotmill {
namespace {

constexpr size_t kProgramBytes = size_t{16} << 20;
// Part of the memory for documents, peers and the allocator's fragmentation.
constexpr size_t kUncountedDivisor = 4;
// The budget is never below this part of the memory.
constexpr size_t kMinBudgetDivisor = 4;
constexpr size_t kSmallShareDivisor = 8;

constexpr size_t kMaxBufferedResponses = size_t{32} << 20;
constexpr size_t kBufferedDivisor = 8;

// Part of the free memory that the unsent bytes of one response may take.
constexpr size_t kUnsentDivisor = 64;
constexpr size_t kMaxUnsentBytes = size_t{1} << 20;

}  // namespace

MemoryLimits PlanMemory(size_t process_bytes) {
  if (process_bytes == 0) {
    return {};
  }
  const size_t reserve = kProgramBytes + process_bytes / kUncountedDivisor;
  const size_t rest = process_bytes - std::min(process_bytes, reserve);
  MemoryLimits limits;
  limits.total_bytes =
      std::max({rest, process_bytes / kMinBudgetDivisor, size_t{1}});
  limits.small_share_bytes = limits.total_bytes / kSmallShareDivisor;
  return limits;
}

size_t BufferedResponseLimit(size_t process_bytes) {
  return process_bytes == 0 ? kMaxBufferedResponses
                            : std::min(kMaxBufferedResponses,
                                       process_bytes / kBufferedDivisor);
}

size_t MissingMemory(const MemoryLimits& limits,
                     size_t used,
                     size_t size,
                     size_t more) {
  if (limits.total_bytes == 0) {
    return 0;
  }
  const size_t usable = size <= kSmallRequestBytes
                            ? limits.total_bytes
                            : limits.total_bytes - limits.small_share_bytes;
  return used + more - std::min(used + more, usable);
}

size_t UnsentResponseLimit(const MemoryLimits& limits,
                           size_t used,
                           size_t fixed_limit) {
  if (limits.total_bytes == 0) {
    return fixed_limit;
  }
  const size_t free = limits.total_bytes - std::min(used, limits.total_bytes);
  return std::min(free / kUnsentDivisor, kMaxUnsentBytes);
}

}  // namespace peridotmill
