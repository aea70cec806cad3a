#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_ENTRY_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_ENTRY_H_

#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/quarantine/suspect_id.h"

namespace peridotmill {

inline constexpr Duration kFirstQuarantine = std::chrono::seconds(10);
inline constexpr Duration kMaxQuarantine = std::chrono::minutes(10);
inline constexpr size_t kMaxQuarantines = 256;
// Time in which a probe has to clear its part or crash its endpoint before
// another probe is allowed.
inline constexpr Duration kProbeLimit = std::chrono::seconds(10);

// A part whose requests are refused. When the quarantine is over, one request
// at a time is let through as a probe until the part has been cleared.
struct QuarantineEntry {
  SuspectId id;
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
using QuarantineEntries = std::vector<QuarantineEntry>;

// Returns the quarantine of a part, or null.
QuarantineEntry* FindQuarantine(QuarantineEntries& quarantines, SuspectId id);
const QuarantineEntry* FindQuarantine(const QuarantineEntries& quarantines,
                                      SuspectId id);

// Returns how long a part is quarantined after its last crash.
Duration QuarantineTime(int failed_probes);

// Starts a quarantine, or extends one after another crash. A crash after the
// end of the quarantine, that is of a probe, makes the next one longer.
void Quarantine(QuarantineEntries& quarantines,
                SuspectId id,
                TimePoint crashed_at);

// Inserts a quarantine that another node has reported, or takes over what is
// later in it. Returns whether anything changed.
bool MergeQuarantine(QuarantineEntries& quarantines,
                     const QuarantineEntry& reported);

// Drops quarantines that have been over for kMaxQuarantine, since no request
// with the part has come.
void ExpireQuarantines(QuarantineEntries& quarantines, TimePoint now);

// Returns the time until a request may be a probe: the rest of the quarantine,
// or of the wait for another probe. Zero if it may be one now.
Duration TimeUntilProbe(const QuarantineEntry& quarantine,
                        const RequestId& request,
                        TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_ENTRY_H_
