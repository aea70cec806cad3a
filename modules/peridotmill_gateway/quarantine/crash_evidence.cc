#include "peridotmill_gateway/quarantine/crash_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotmill {
namespace {

// Times that other nodes have reported as ages vary by this much.
constexpr Duration kReportedTimeTolerance = std::chrono::milliseconds(2);

bool HasSuspect(const SuspectedCrash& crash, SuspectId id) {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [id](const Suspect& suspect) { return suspect.id == id; });
}

// Returns when the first node noticed the crash.
TimePoint CrashedAt(const SuspectedCrash& crash) {
  TimePoint first = TimePoint::max();
  for (const Suspect& suspect : crash.suspects) {
    first = std::min(first, suspect.at);
  }
  return first;
}

// What a blamed suspect leaves of a crash for the others.
enum class Explanation : uint8_t { kNone, kRequest, kPart };

Explanation Explain(const SuspectedCrash& crash,
                    const std::function<bool(SuspectId)>& explains) {
  Explanation explanation = Explanation::kNone;
  for (const Suspect& suspect : crash.suspects) {
    if (explains(suspect.id)) {
      explanation =
          std::max(explanation, IsRequest(suspect) ? Explanation::kRequest
                                                   : Explanation::kPart);
    }
  }
  return explanation;
}

void ForgetSuspect(CrashEvidence& evidence, SuspectId id) {
  const auto found = evidence.crash_counts.find(id);
  if (found != evidence.crash_counts.end() && --found->second == 0) {
    evidence.crash_counts.erase(found);
  }
}

// Removes the suspects for which `is_refuted` returns true.
template <typename Predicate>
void RemoveSuspects(CrashEvidence& evidence, Predicate is_refuted) {
  for (SuspectedCrash& crash : evidence.crashes) {
    std::erase_if(crash.suspects, [&](const Suspect& suspect) {
      if (!is_refuted(suspect)) {
        return false;
      }
      ForgetSuspect(evidence, suspect.id);
      return true;
    });
  }
  std::erase_if(evidence.crashes, [](const SuspectedCrash& crash) {
    return crash.suspects.empty();
  });
}

// A crash under an attempt.
struct AttemptCrash {
  TimePoint at;
  TimePoint attempt_started_at;
};

// What is known against one suspect.
struct Suspicion {
  std::vector<AttemptCrash> crashes;
  bool has_unexplained_crash = false;
  uint32_t successes = 0;
  uint32_t position = 0;
};

void AddToSuspicion(Suspicion& suspicion,
                    const Suspect& suspect,
                    TimePoint crashed_at,
                    Explanation explanation) {
  if (explanation == Explanation::kPart ||
      (explanation == Explanation::kRequest && IsRequest(suspect))) {
    return;
  }
  suspicion.crashes.push_back({crashed_at, suspect.attempt_started_at});
  suspicion.has_unexplained_crash |= explanation == Explanation::kNone;
  suspicion.successes = std::max(suspicion.successes, suspect.successes);
  suspicion.position = std::max(suspicion.position, suspect.position);
}

int CountIncidents(Suspicion suspicion) {
  if (!suspicion.has_unexplained_crash) {
    return 0;
  }
  std::sort(
      suspicion.crashes.begin(), suspicion.crashes.end(),
      [](const AttemptCrash& a, const AttemptCrash& b) { return a.at < b.at; });
  int incidents = 0;
  TimePoint begin;
  for (const AttemptCrash& crash : suspicion.crashes) {
    if (incidents == 0 || crash.at - begin > kIncidentSpan ||
        crash.attempt_started_at >= begin - kReportedTimeTolerance) {
      ++incidents;
      begin = crash.at;
    }
  }
  return incidents;
}

}  // namespace

std::vector<Suspect> AddCrash(CrashEvidence& evidence,
                              const SuspectedCrash& crash) {
  std::vector<Suspect> added;
  const auto found = std::find_if(
      evidence.crashes.begin(), evidence.crashes.end(), [&](const auto& known) {
        return known.incarnation == crash.incarnation;
      });
  const size_t known_suspects =
      found == evidence.crashes.end() ? 0 : found->suspects.size();
  for (const Suspect& suspect : crash.suspects) {
    const bool is_known =
        (found != evidence.crashes.end() && HasSuspect(*found, suspect.id)) ||
        std::any_of(added.begin(), added.end(), [&](const Suspect& other) {
          return other.id == suspect.id;
        });
    if (!is_known && known_suspects + added.size() < kMaxSuspectsPerCrash &&
        FindSuccess(evidence, suspect.id).last_at < suspect.at) {
      added.push_back(suspect);
    }
  }
  if (added.empty()) {
    return added;
  }
  for (const Suspect& suspect : added) {
    ++evidence.crash_counts[suspect.id];
  }
  if (found != evidence.crashes.end()) {
    found->suspects.insert(found->suspects.end(), added.begin(), added.end());
    return added;
  }
  evidence.crashes.push_back({crash.incarnation, added});
  if (evidence.crashes.size() > kMaxCrashes) {
    for (const Suspect& suspect : evidence.crashes.front().suspects) {
      ForgetSuspect(evidence, suspect.id);
    }
    evidence.crashes.pop_front();
  }
  return added;
}

bool AddSuccess(CrashEvidence& evidence, SuspectId id, TimePoint at) {
  SuspectSuccess success = FindSuccess(evidence, id);
  success.last_at = std::max(success.last_at, at);
  ++success.count;
  evidence.successes[id] = success;
  if (evidence.successes.size() >= kMaxSuccesses / 2) {
    evidence.older_successes = std::exchange(evidence.successes, {});
  }
  const auto count = evidence.crash_counts.find(id);
  if (count == evidence.crash_counts.end()) {
    return false;
  }
  const int crashes_before = count->second;
  RemoveSuspects(evidence, [&](const Suspect& suspect) {
    return suspect.id == id && suspect.at <= at;
  });
  const auto left = evidence.crash_counts.find(id);
  return left == evidence.crash_counts.end() || left->second < crashes_before;
}

SuspectSuccess FindSuccess(const CrashEvidence& evidence, SuspectId id) {
  for (const auto* const generation :
       {&evidence.successes, &evidence.older_successes}) {
    if (const auto found = generation->find(id); found != generation->end()) {
      return found->second;
    }
  }
  return {};
}

void ExpireEvidence(CrashEvidence& evidence, TimePoint now) {
  RemoveSuspects(evidence, [now](const Suspect& suspect) {
    return now - suspect.at > kEvidenceLifetime;
  });
}

bool IsSuspected(const CrashEvidence& evidence,
                 RequestFingerprint fingerprint) {
  const auto first =
      evidence.crash_counts.lower_bound(LowestIdWith(fingerprint));
  return first != evidence.crash_counts.end() &&
         FingerprintOf(first->first) == fingerprint;
}

int CountIncidents(const CrashEvidence& evidence,
                   SuspectId id,
                   const std::function<bool(SuspectId)>& explains) {
  Suspicion suspicion;
  for (const SuspectedCrash& crash : evidence.crashes) {
    for (const Suspect& suspect : crash.suspects) {
      if (suspect.id == id) {
        AddToSuspicion(suspicion, suspect, CrashedAt(crash),
                       Explain(crash, explains));
      }
    }
  }
  return CountIncidents(std::move(suspicion));
}

std::optional<SuspectId> FindCulprit(
    const CrashEvidence& evidence,
    TimePoint reported_until,
    const std::function<bool(SuspectId)>& explains) {
  std::unordered_map<SuspectId, Suspicion> suspicions;
  for (const SuspectedCrash& crash : evidence.crashes) {
    if (CrashedAt(crash) > reported_until) {
      continue;
    }
    const Explanation explanation = Explain(crash, explains);
    for (const Suspect& suspect : crash.suspects) {
      if (!explains(suspect.id)) {
        AddToSuspicion(suspicions[suspect.id], suspect, suspect.at,
                       explanation);
      }
    }
  }
  // A part that many answered prompts have is unlikely to be the culprit, even
  // if it coincided with more crashes than the culprit. A request goes before
  // the parts of its prompt, and the id makes all nodes choose the same one of
  // equal suspects.
  std::optional<SuspectId> culprit;
  std::tuple<double, int, uint32_t, uint64_t> best;
  for (const auto& [id, suspicion] : suspicions) {
    const int incidents = CountIncidents(suspicion);
    const bool is_established = suspicion.successes >= kEstablishedSuccesses;
    if (incidents <
        (is_established ? kIncidentsToBlameEstablished : kIncidentsToBlame)) {
      continue;
    }
    const std::tuple<double, int, uint32_t, uint64_t> rank(
        incidents / (incidents + static_cast<double>(suspicion.successes)),
        incidents, suspicion.position, id.value());
    if (!culprit || rank > best) {
      culprit = id;
      best = rank;
    }
  }
  return culprit;
}

std::optional<TimePoint> FirstCrashAfter(const CrashEvidence& evidence,
                                         TimePoint reported_until) {
  std::optional<TimePoint> first;
  for (const SuspectedCrash& crash : evidence.crashes) {
    const TimePoint at = CrashedAt(crash);
    if (at > reported_until && (!first || at < *first)) {
      first = at;
    }
  }
  return first;
}

TimePoint LastCrashAt(const CrashEvidence& evidence, SuspectId id) {
  TimePoint last;
  for (const SuspectedCrash& crash : evidence.crashes) {
    for (const Suspect& suspect : crash.suspects) {
      if (suspect.id == id) {
        last = std::max(last, suspect.at);
      }
    }
  }
  return last;
}

}  // namespace peridotmill
