#include "peridotmill_gateway/quarantine/crash_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotmill {
namespace {

bool HasPart(const SuspectedCrash& crash, PromptPartHash part) {
  return std::any_of(
      crash.parts.begin(), crash.parts.end(),
      [part](const SuspectPart& suspect) { return suspect.part == part; });
}

// Returns when the first node noticed the crash.
TimePoint CrashedAt(const SuspectedCrash& crash) {
  TimePoint first = TimePoint::max();
  for (const SuspectPart& suspect : crash.parts) {
    first = std::min(first, suspect.at);
  }
  return first;
}

bool IsExplained(const SuspectedCrash& crash,
                 const std::function<bool(PromptPartHash)>& explains) {
  return std::any_of(
      crash.parts.begin(), crash.parts.end(),
      [&](const SuspectPart& suspect) { return explains(suspect.part); });
}

void ForgetSuspect(CrashEvidence& evidence, PromptPartHash part) {
  const auto found = evidence.crash_counts.find(part);
  if (found != evidence.crash_counts.end() && --found->second == 0) {
    evidence.crash_counts.erase(found);
  }
}

// Removes the suspects for which `is_refuted` returns true.
template <typename Predicate>
void RemoveSuspects(CrashEvidence& evidence, Predicate is_refuted) {
  for (SuspectedCrash& crash : evidence.crashes) {
    std::erase_if(crash.parts, [&](const SuspectPart& suspect) {
      if (!is_refuted(suspect)) {
        return false;
      }
      ForgetSuspect(evidence, suspect.part);
      return true;
    });
  }
  std::erase_if(evidence.crashes, [](const SuspectedCrash& crash) {
    return crash.parts.empty();
  });
}

// What is known against one part.
struct Suspicion {
  std::vector<TimePoint> crashes;
  uint32_t successes = 0;
  uint32_t position = 0;
};

int CountIncidents(std::vector<TimePoint> crashes) {
  std::sort(crashes.begin(), crashes.end());
  int incidents = 0;
  TimePoint begin;
  for (const TimePoint crash : crashes) {
    if (incidents == 0 || crash - begin > kIncidentSpan) {
      ++incidents;
      begin = crash;
    }
  }
  return incidents;
}

}  // namespace

std::vector<SuspectPart> AddCrash(CrashEvidence& evidence,
                                  const SuspectedCrash& crash) {
  std::vector<SuspectPart> added;
  const auto found = std::find_if(
      evidence.crashes.begin(), evidence.crashes.end(), [&](const auto& known) {
        return known.incarnation == crash.incarnation;
      });
  const size_t known_parts =
      found == evidence.crashes.end() ? 0 : found->parts.size();
  for (const SuspectPart& suspect : crash.parts) {
    const bool is_known =
        (found != evidence.crashes.end() && HasPart(*found, suspect.part)) ||
        std::any_of(added.begin(), added.end(), [&](const SuspectPart& other) {
          return other.part == suspect.part;
        });
    if (!is_known && known_parts + added.size() < kMaxPartsPerCrash &&
        FindSuccess(evidence, suspect.part).last_at < suspect.at) {
      added.push_back(suspect);
    }
  }
  if (added.empty()) {
    return added;
  }
  for (const SuspectPart& suspect : added) {
    ++evidence.crash_counts[suspect.part];
  }
  if (found != evidence.crashes.end()) {
    found->parts.insert(found->parts.end(), added.begin(), added.end());
    return added;
  }
  evidence.crashes.push_back({crash.incarnation, added});
  if (evidence.crashes.size() > kMaxCrashes) {
    for (const SuspectPart& suspect : evidence.crashes.front().parts) {
      ForgetSuspect(evidence, suspect.part);
    }
    evidence.crashes.pop_front();
  }
  return added;
}

bool AddSuccess(CrashEvidence& evidence, PromptPartHash part, TimePoint at) {
  PartSuccess success = FindSuccess(evidence, part);
  success.last_at = std::max(success.last_at, at);
  ++success.count;
  evidence.successes[part] = success;
  if (evidence.successes.size() >= kMaxPartSuccesses / 2) {
    evidence.older_successes = std::exchange(evidence.successes, {});
  }
  const auto count = evidence.crash_counts.find(part);
  if (count == evidence.crash_counts.end()) {
    return false;
  }
  const int crashes_before = count->second;
  RemoveSuspects(evidence, [&](const SuspectPart& suspect) {
    return suspect.part == part && suspect.at <= at;
  });
  const auto left = evidence.crash_counts.find(part);
  return left == evidence.crash_counts.end() || left->second < crashes_before;
}

PartSuccess FindSuccess(const CrashEvidence& evidence, PromptPartHash part) {
  for (const auto* const generation :
       {&evidence.successes, &evidence.older_successes}) {
    if (const auto found = generation->find(part); found != generation->end()) {
      return found->second;
    }
  }
  return {};
}

void ExpireEvidence(CrashEvidence& evidence, TimePoint now) {
  RemoveSuspects(evidence, [now](const SuspectPart& suspect) {
    return now - suspect.at > kEvidenceLifetime;
  });
}

int CountIncidents(const CrashEvidence& evidence,
                   PromptPartHash part,
                   const std::function<bool(PromptPartHash)>& explains) {
  std::vector<TimePoint> crashes;
  for (const SuspectedCrash& crash : evidence.crashes) {
    if (HasPart(crash, part) && !IsExplained(crash, explains)) {
      crashes.push_back(CrashedAt(crash));
    }
  }
  return CountIncidents(std::move(crashes));
}

std::optional<PromptPartHash> FindCulprit(
    const CrashEvidence& evidence,
    TimePoint reported_until,
    const std::function<bool(PromptPartHash)>& explains) {
  std::unordered_map<PromptPartHash, Suspicion> suspicions;
  for (const SuspectedCrash& crash : evidence.crashes) {
    if (CrashedAt(crash) > reported_until || IsExplained(crash, explains)) {
      continue;
    }
    for (const SuspectPart& suspect : crash.parts) {
      Suspicion& suspicion = suspicions[suspect.part];
      suspicion.crashes.push_back(suspect.at);
      suspicion.successes = std::max(suspicion.successes, suspect.successes);
      suspicion.position = std::max(suspicion.position, suspect.position);
    }
  }
  // A part that many answered prompts have is unlikely to be the culprit, even
  // if it coincided with more crashes than the culprit. The hash makes all
  // nodes choose the same one of equal parts.
  std::optional<PromptPartHash> culprit;
  std::tuple<double, int, uint32_t, uint64_t> best;
  for (const auto& [part, suspicion] : suspicions) {
    const int incidents = CountIncidents(suspicion.crashes);
    const bool is_established = suspicion.successes >= kEstablishedSuccesses;
    if (incidents <
        (is_established ? kIncidentsToBlameEstablished : kIncidentsToBlame)) {
      continue;
    }
    const std::tuple<double, int, uint32_t, uint64_t> rank(
        incidents / (incidents + static_cast<double>(suspicion.successes)),
        incidents, suspicion.position, part.value());
    if (!culprit || rank > best) {
      culprit = part;
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

TimePoint LastCrashAt(const CrashEvidence& evidence, PromptPartHash part) {
  TimePoint last;
  for (const SuspectedCrash& crash : evidence.crashes) {
    for (const SuspectPart& suspect : crash.parts) {
      if (suspect.part == part) {
        last = std::max(last, suspect.at);
      }
    }
  }
  return last;
}

}  // namespace peridotmill
