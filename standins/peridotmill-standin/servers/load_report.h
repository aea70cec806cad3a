#ifndef STANDINS_SERVERS_LOAD_REPORT_H_
#define STANDINS_SERVERS_LOAD_REPORT_H_

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

// Reports that lag: each reading is shown only once it is `lag` old.
class LoadReport {
 public:
  LoadReport(Duration lag, std::function<std::string()> read)
      : lag_(lag), read_(std::move(read)) {}

  // Takes a reading; call after each change.
  void Record(TimePoint now) {
    constexpr auto kMinInterval = std::chrono::milliseconds(20);
    if (!readings_.empty() && now - readings_.back().first < kMinInterval) {
      is_pending_ = true;
      return;
    }
    readings_.emplace_back(now, read_());
    is_pending_ = false;
    Trim(now);
  }

  // The newest reading that is old enough. With `is_frozen` no newer reading
  // than the one shown before is taken.
  std::string Shown(TimePoint now, bool is_frozen) {
    if (is_frozen && !shown_.empty()) {
      return shown_;
    }
    if (is_pending_ || readings_.empty()) {
      readings_.emplace_back(now, read_());
      is_pending_ = false;
    }
    Trim(now);
    shown_ = readings_.front().second;
    return shown_;
  }

 private:
  void Trim(TimePoint now) {
    while (readings_.size() > 1 && readings_[1].first + lag_ <= now) {
      readings_.pop_front();
    }
  }

  Duration lag_;
  std::function<std::string()> read_;
  std::deque<std::pair<TimePoint, std::string>> readings_;
  std::string shown_;
  bool is_pending_ = false;
};

}  // namespace peridotmill::standin

#endif  // STANDINS_SERVERS_LOAD_REPORT_H_
