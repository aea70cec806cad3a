#ifndef PERIDOTMILL_CORE_TIME_BOOT_CLOCK_H_
#define PERIDOTMILL_CORE_TIME_BOOT_CLOCK_H_

#include <time.h>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A steady clock that also advances while the host is suspended, so that
// deadlines, leases and cached state expire during that time. Its time points
// are not comparable with those of SystemClock.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec time = {};
    // The call cannot fail for CLOCK_BOOTTIME on Linux.
    (void)clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIME_BOOT_CLOCK_H_
