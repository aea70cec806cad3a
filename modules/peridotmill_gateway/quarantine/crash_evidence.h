#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/quarantine/suspect_id.h"

namespace peridotmill {

// One run of an endpoint's process, which crashes at most once.
struct CrashedProcess {
  EndpointId endpoint;
  int64_t started_at_ms = 0;

  friend bool operator==(const CrashedProcess&,
                         const CrashedProcess&) = default;
};

// Position of a whole request among the suspects of one crash.
inline constexpr uint32_t kRequestPosition = 255;

// A request that was at an endpoint without a response when the endpoint seems
// to have crashed, or a part of its prompt.
struct Suspect {
  SuspectId id;
  TimePoint at;
  // Answers to prompts with this part that the reporting node had seen before;
  // those to whole requests are not counted.
  uint32_t successes = 0;
  // Index of the part in its prompt, or kRequestPosition.
  uint32_t position = 0;
  // When the attempt that broke off had begun; the epoch if it is not known.
  TimePoint attempt_started_at;
  // This node has observed the crash itself.
  bool is_observed = false;
};

inline bool IsRequest(const Suspect& suspect) {
  return suspect.position == kRequestPosition;
}

// A seeming crash, with all that may have caused it.
struct SuspectedCrash {
  CrashedProcess incarnation;
  std::vector<Suspect> suspects;
};

// Answers to requests with one suspect.
struct SuspectSuccess {
  TimePoint last_at;
  uint32_t count = 0;
};

inline constexpr size_t kMaxCrashes = 128;
inline constexpr size_t kMaxSuspectsPerCrash = 64;
inline constexpr size_t kMaxSuccesses = 1024;
// Time for which a suspicion that no success refutes is kept.
inline constexpr Duration kEvidenceLifetime = std::chrono::minutes(10);
// Crashes within this time count as one incident: a failed host or failure
// domain takes several endpoints at once, whatever they were processing. An
// attempt that began after the first of them is an incident of its own.
inline constexpr Duration kIncidentSpan = std::chrono::milliseconds(50);
// Incidents without a success in between after which a suspect is blamed, and
// the same for a part with kEstablishedSuccesses before: it is more likely
// to have been at engines that failed for another reason.
inline constexpr int kIncidentsToBlame = 3;
inline constexpr int kIncidentsToBlameEstablished = 5;
inline constexpr uint32_t kEstablishedSuccesses = 10;
// Time in which the reports of all nodes about one crash arrive. A crash counts
// only afterwards, so that the culprit is known before other parts are blamed.
inline constexpr Duration kReportTime = std::chrono::milliseconds(200);

// Suspected crashes and successes, of the whole fleet as far as
// this node knows. All sizes are bounded; the oldest entries are dropped first.
struct CrashEvidence {
  std::deque<SuspectedCrash> crashes;
  // Number of crashes of which each id is suspected, so that the successes of
  // others need no search.
  std::map<SuspectId, int> crash_counts;
  // Two generations: when the first is full it replaces the second.
  std::unordered_map<SuspectId, SuspectSuccess> successes;
  std::unordered_map<SuspectId, SuspectSuccess> older_successes;
};

// Adds a crash, or further suspects of a known one. Skips those that have
// succeeded since. Returns the ones that are new.
std::vector<Suspect> AddCrash(CrashEvidence& evidence,
                              const SuspectedCrash& crash);

// Records an answer to a request with the suspect `id` and removes all
// suspicions of it from before. Returns whether there were any.
bool AddSuccess(CrashEvidence& evidence, SuspectId id, TimePoint at);

// Returns the successes of a suspect; zeros if none are known.
SuspectSuccess FindSuccess(const CrashEvidence& evidence, SuspectId id);

// Drops suspicions that are older than kEvidenceLifetime.
void ExpireEvidence(CrashEvidence& evidence, TimePoint now);

// Returns whether a request with this fingerprint is suspected of a crash.
bool IsSuspected(const CrashEvidence& evidence, RequestFingerprint fingerprint);

// Returns the number of incidents that speak against a suspect while those for
// which `explains` returns true are already blamed: none if all of its crashes
// coincided with them, and none that coincided with a blamed part. A crash
// under a blamed request still speaks against the parts of its prompt, since
// one of them may be what makes several requests crash endpoints.
int CountIncidents(const CrashEvidence& evidence,
                   SuspectId id,
                   const std::function<bool(SuspectId)>& explains);

// Returns the part or the request that is to blame for the crashes until
// `reported_until`, or nullopt. Counts incidents as CountIncidents does, so
// that suspects which merely coincided with a blamed one are not blamed too.
std::optional<SuspectId> FindCulprit(
    const CrashEvidence& evidence,
    TimePoint reported_until,
    const std::function<bool(SuspectId)>& explains);

// Returns the time of the first crash after `reported_until`, if there is one.
std::optional<TimePoint> FirstCrashAfter(const CrashEvidence& evidence,
                                         TimePoint reported_until);

// Returns the time of the last crash of which `id` is suspected.
TimePoint LastCrashAt(const CrashEvidence& evidence, SuspectId id);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_CRASH_EVIDENCE_H_
