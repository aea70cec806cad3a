#include "peridotmill_gateway/quarantine/quarantine_entry.h"

#include <algorithm>

namespace peridotmill {
namespace {

// A quarantine lasts this many times longer after each failed probe.
constexpr int kGrowth = 4;

auto HasSuspect(SuspectId id) {
  return [id](const QuarantineEntry& entry) { return entry.id == id; };
}

void Insert(QuarantineEntries& quarantines, const QuarantineEntry& quarantine) {
  if (quarantines.size() >= kMaxQuarantines) {
    // The one that ends first is the most likely one to be over.
    quarantines.erase(std::min_element(
        quarantines.begin(), quarantines.end(),
        [](const QuarantineEntry& a, const QuarantineEntry& b) {
          return a.until < b.until;
        }));
  }
  quarantines.push_back(quarantine);
}

}  // namespace

QuarantineEntry* FindQuarantine(QuarantineEntries& quarantines, SuspectId id) {
  const auto found =
      std::find_if(quarantines.begin(), quarantines.end(), HasSuspect(id));
  return found == quarantines.end() ? nullptr : &*found;
}

const QuarantineEntry* FindQuarantine(const QuarantineEntries& quarantines,
                                      SuspectId id) {
  const auto found =
      std::find_if(quarantines.begin(), quarantines.end(), HasSuspect(id));
  return found == quarantines.end() ? nullptr : &*found;
}

Duration QuarantineTime(int probes) {
  Duration time = kFirstQuarantine;
  for (int i = 0; i < probes && time < kMaxQuarantine; ++i) {
    time *= kGrowth;
  }
  return std::min(time, kMaxQuarantine);
}

void Quarantine(QuarantineEntries& quarantines,
                SuspectId id,
                TimePoint crashed_at) {
  QuarantineEntry* const found = FindQuarantine(quarantines, id);
  if (found == nullptr) {
    Insert(quarantines, {.id = id,
                         .since = crashed_at,
                         .until = crashed_at + QuarantineTime(0)});
    return;
  }
  if (crashed_at <= found->since) {
    return;
  }
  if (crashed_at > found->until) {
    found->probe = RequestId();
    found->probe_until = TimePoint();
    found->is_probe_unused = false;
  }
  found->since = crashed_at;
  found->until =
      std::max(found->until, crashed_at + QuarantineTime(found->probes));
}

bool MergeQuarantine(QuarantineEntries& quarantines,
                     const QuarantineEntry& reported,
                     TimePoint now) {
  // Reported times vary by the time that messages take.
  constexpr Duration kTolerance = std::chrono::seconds(1);
  QuarantineEntry* const found = FindQuarantine(quarantines, reported.id);
  if (found == nullptr) {
    Insert(quarantines, reported);
    return true;
  }
  const bool has_new_probe = reported.probes > found->probes;
  const bool is_later =
      reported.until > found->until + kTolerance || has_new_probe;
  if (is_later) {
    found->since = std::max(found->since, reported.since);
    found->until = std::max(found->until, reported.until);
  }
  if (has_new_probe) {
    found->probes = reported.probes;
    found->probe_until = std::max(found->probe_until, now + kProbeLimit);
  }
  return is_later;
}

void ExpireQuarantines(QuarantineEntries& quarantines, TimePoint now) {
  std::erase_if(quarantines, [now](const QuarantineEntry& entry) {
    return now - entry.until > kMaxQuarantine;
  });
}

Duration TimeUntilProbe(const QuarantineEntry& quarantine, TimePoint now) {
  TimePoint allowed = std::max(quarantine.until, quarantine.probe_until);
  if (quarantine.probes >= kMaxProbes) {
    allowed = std::max(allowed, quarantine.until + kMaxQuarantine);
  }
  return std::max(allowed - now, Duration::zero());
}

}  // namespace peridotmill
