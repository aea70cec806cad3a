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
// Time in which a probe has to clear its suspect or crash its endpoint before
// another probe is allowed.
inline constexpr Duration kProbeLimit = std::chrono::seconds(10);

// Probes of all nodes together after which a suspect is refused until it is
// forgotten.
inline constexpr int kMaxProbes = 3;

// A suspect whose requests are refused. When the quarantine is over, one
// request at a time is let through as a probe until the suspect has been
// cleared.
struct QuarantineEntry {
  SuspectId id;
  // Time of the last crash that is blamed on the suspect.
  TimePoint since;
  TimePoint until;
  // Number of probes that all nodes have made.
  int probes = 0;
  // The probe that this node has let through; empty if another node may have
  // let one through.
  RequestId probe;
  // Until when no other probe is allowed.
  TimePoint probe_until;
  // The probe of this node ended before it was sent to an endpoint, so that
  // another request may take its place.
  bool is_probe_unused = false;
  // The request for which this node asks for a probe; empty if there is none.
  RequestId applicant;
};

// The quarantined suspects.
using QuarantineEntries = std::vector<QuarantineEntry>;

// Returns the quarantine of a suspect, or null.
QuarantineEntry* FindQuarantine(QuarantineEntries& quarantines, SuspectId id);
const QuarantineEntry* FindQuarantine(const QuarantineEntries& quarantines,
                                      SuspectId id);

// Returns how long a suspect is quarantined after its last crash, if there were
// `probes` probes.
Duration QuarantineTime(int probes);

// Starts a quarantine, or extends one after another crash.
void Quarantine(QuarantineEntries& quarantines,
                SuspectId id,
                TimePoint crashed_at);

// Inserts a quarantine that another node has reported, or takes over what is
// later in it. Returns whether anything changed.
bool MergeQuarantine(QuarantineEntries& quarantines,
                     const QuarantineEntry& reported,
                     TimePoint now);

// Drops quarantines that have been over for kMaxQuarantine.
void ExpireQuarantines(QuarantineEntries& quarantines, TimePoint now);

// Returns the time until a request may apply for a probe: the rest of the
// quarantine, or of the wait for another probe. Zero if it may do so now.
Duration TimeUntilProbe(const QuarantineEntry& quarantine, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_ENTRY_H_
