#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_VERDICT_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_VERDICT_H_

#include <cstdint>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Whether a request may run.
struct QuarantineVerdict {
  enum class Kind : uint8_t {
    kRun,
    kRefuse,
    // Ask again in a few milliseconds: the request has applied for a probe.
    kAwaitProbe,
  };
  Kind kind = Kind::kRun;
  // Time after which a refused request may be tried again.
  Duration retry_after = Duration::zero();
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_VERDICT_H_
