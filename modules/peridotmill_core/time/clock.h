#ifndef PERIDOTMILL_CORE_TIME_CLOCK_H_
#define PERIDOTMILL_CORE_TIME_CLOCK_H_

#include <chrono>

namespace peridotmill {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Source of time. Decisions use the steady clock. The wall clock is used only
// for timestamps in stored data and in output.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

// A clock that advances only when Advance() is called, for tests and embedders.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return wall_now_; }

  void Advance(Duration amount) {
    now_ += amount;
    wall_now_ += std::chrono::duration_cast<WallTime::duration>(amount);
  }

 private:
  // Starts well above zero, so that "now - window" stays positive.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  WallTime wall_now_ = WallTime(std::chrono::hours(24 * 365 * 50));
};

// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIME_CLOCK_H_
