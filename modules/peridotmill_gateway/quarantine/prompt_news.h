#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_PROMPT_NEWS_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_PROMPT_NEWS_H_

#include <vector>

#include "peridotmill_gateway/quarantine/crash_evidence.h"
#include "peridotmill_gateway/quarantine/part_quarantine.h"

namespace peridotmill {

// A part that an endpoint has answered without a crash.
struct ClearedPart {
  PromptPartHash part;
  TimePoint at;
};

// What one node tells another about parts that crash endpoints.
struct PromptNews {
  std::vector<SuspectedCrash> crashes;
  std::vector<ClearedPart> cleared;
  PartQuarantines quarantines;

  bool empty() const {
    return crashes.empty() && cleared.empty() && quarantines.empty();
  }
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_PROMPT_NEWS_H_
