#ifndef PERIDOTMILL_CORE_REASONS_REASON_COUNTERS_H_
#define PERIDOTMILL_CORE_REASONS_REASON_COUNTERS_H_

#include <array>
#include <cstdint>

#include "peridotmill_core/reasons/reason.h"

namespace peridotmill {

// Counts the occurrences of each reason since the process started.
class ReasonCounters {
 public:
  void Add(Reason reason, uint64_t amount = 1) {
    counts_[static_cast<size_t>(reason)] += amount;
  }
  uint64_t Get(Reason reason) const {
    return counts_[static_cast<size_t>(reason)];
  }

 private:
  std::array<uint64_t, kReasonCount> counts_ = {};
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_REASONS_REASON_COUNTERS_H_
