#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_PART_QUARANTINE_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_PART_QUARANTINE_H_

#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/quarantine/prompt_part.h"

namespace peridotmill {

inline constexpr Duration kFirstQuarantine = std::chrono::seconds(10);
inline constexpr Duration kMaxQuarantine = std::chrono::minutes(10);
inline constexpr size_t kMaxQuarantinedParts = 64;
// Time in which a probe has to clear its part or crash its endpoint before
// another probe is allowed.
inline constexpr Duration kProbeLimit = std::chrono::seconds(10);

// A part whose requests are refused. When the quarantine is over, one request
// at a time is let through as a probe until the part has been cleared.
struct PartQuarantine {
  PromptPartHash part;
  // Time of the last crash that is blamed on the part.
  TimePoint since;
  TimePoint until;
  // Number of probes that have crashed their endpoints.
  int failed_probes = 0;
  // The probe that this node has let through, and until when it is waited for.
  RequestId probe;
  TimePoint probe_until;
};

// The quarantined parts, oldest first.
using PartQuarantines = std::vector<PartQuarantine>;

// Returns the quarantine of a part, or null.
PartQuarantine* FindQuarantine(PartQuarantines& quarantines,
                               PromptPartHash part);
const PartQuarantine* FindQuarantine(const PartQuarantines& quarantines,
                                     PromptPartHash part);

// Returns how long a part is quarantined after its last crash.
Duration QuarantineTime(int failed_probes);

// Starts a quarantine, or extends one after another crash. A crash after the
// end of the quarantine, that is of a probe, makes the next one longer.
void Quarantine(PartQuarantines& quarantines,
                PromptPartHash part,
                TimePoint crashed_at);

// Inserts a quarantine that another node has reported, or takes over what is
// later in it. Returns whether anything changed.
bool MergeQuarantine(PartQuarantines& quarantines,
                     const PartQuarantine& reported);

// Drops quarantines that have been over for kMaxQuarantine, since no request
// with the part has come.
void ExpireQuarantines(PartQuarantines& quarantines, TimePoint now);

// Returns the time until a request may be a probe: the rest of the quarantine,
// or of the wait for another probe. Zero if it may be one now.
Duration TimeUntilProbe(const PartQuarantine& quarantine,
                        const RequestId& request,
                        TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_PART_QUARANTINE_H_
