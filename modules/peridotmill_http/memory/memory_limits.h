#ifndef PERIDOTMILL_HTTP_MEMORY_MEMORY_LIMITS_H_
#define PERIDOTMILL_HTTP_MEMORY_MEMORY_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace peridotmill {

// Memory that others may make a process hold, in bytes.
struct MemoryLimits {
  // What all connections and requests together may hold. 0 means no limit.
  size_t total_bytes = 0;
  // The part of the total that only small requests may use.
  size_t small_share_bytes = 0;
};

// A request that holds at most this many bytes is small.
constexpr size_t kSmallRequestBytes = 65536;

// Divides the memory of a process, in bytes; 0 means that it is not limited.
// What is left of it is for the program, its copies of the store's documents,
// and the frames of peers, none of which are counted one by one.
MemoryLimits PlanMemory(size_t process_bytes);

// Returns how many bytes of responses the process may hold back in all, which
// are not part of the budget.
size_t BufferedResponseLimit(size_t process_bytes);

// Returns how many of the `used` bytes must become free before a holder can
// grow by `more` bytes, to `size` bytes; 0 if it fits.
// Answers a crowd of callers whose large requests fill the memory: small
// requests still find room, since large ones leave the small share free.
size_t MissingMemory(const MemoryLimits& limits,
                     size_t used,
                     size_t size,
                     size_t more);

// Returns how many unsent bytes of one response may be queued before reading
// from its endpoint pauses. Without a limit of memory, `fixed_limit`.
// Answers callers that read slowly: while memory is plentiful, an endpoint does
// not wait for such a caller; when many of them fill the memory, each gets a
// part of what is left, so that they never take all of it.
size_t UnsentResponseLimit(const MemoryLimits& limits,
                           size_t used,
                           size_t fixed_limit);

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_MEMORY_MEMORY_LIMITS_H_
