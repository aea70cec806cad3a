#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_NEWS_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_NEWS_H_

#include <cstdint>
#include <vector>

#include "peridotmill_gateway/quarantine/crash_evidence.h"
#include "peridotmill_gateway/quarantine/quarantine_entry.h"

namespace peridotmill {

// Where a node has its news from. What a coordinator says is not sent back to
// coordinators.
enum class NewsSource : uint8_t { kOwn, kCoordinatedNode, kCoordinator };

// A suspect that an endpoint has answered without a crash.
struct ClearedSuspect {
  SuspectId id;
  TimePoint at;
};

// What one node tells another about requests and parts that crash endpoints.
struct CrashNews {
  std::vector<SuspectedCrash> crashes;
  std::vector<ClearedSuspect> cleared;
  QuarantineEntries quarantines;

  bool empty() const {
    return crashes.empty() && cleared.empty() && quarantines.empty();
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_NEWS_H_
