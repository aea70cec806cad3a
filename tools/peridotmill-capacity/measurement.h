#ifndef TOOLS_PERIDOTMILL_CAPACITY_MEASUREMENT_H_
#define TOOLS_PERIDOTMILL_CAPACITY_MEASUREMENT_H_

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <ctime>

namespace peridotmill::capacity {

// Bytes that the program has allocated and not freed.
inline double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Processor time of this thread, which other load on the machine does not
// count into.
inline int64_t ThreadNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * int64_t{1'000'000'000} + time.tv_nsec;
}

}  // namespace peridotmill::capacity

#endif  // TOOLS_PERIDOTMILL_CAPACITY_MEASUREMENT_H_
